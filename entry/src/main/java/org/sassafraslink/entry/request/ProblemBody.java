package org.sassafraslink.entry.request;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.sassafraslink.api.failure.Failure;

/** Writes failures as problem details (RFC 9457). */
final class ProblemBody {
  private ProblemBody() {}

  static String of(Failure failure) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("type", failure.type().urn())
        .put("status", failure.type().httpStatus())
        .put("detail", failure.detail())
        .put("notRun", failure.type().notRun())
        .toString();
  }
}

package org.sassafraslink.entry.request;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.sassafraslink.api.failure.Failure;

/** Encodes failures as JSON problem details (RFC 9457), the body of error responses. */
final class ProblemBody {
  private ProblemBody() {}

  static String toJson(Failure failure) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("type", failure.type().urn())
        .put("status", failure.type().httpStatus())
        .put("detail", failure.detail())
        .put("notRun", failure.type().notRun())
        .toString();
  }
}

package org.sassafraslink.daemon.connection;

import java.util.Optional;
import org.sassafraslink.api.model.Head;
import org.sassafraslink.api.model.Head.Intent;
import org.sassafraslink.rules.version.KnownHead;
import org.sassafraslink.wire.generated.HeadState;

/** Converts the latest head row that a process knows to a {@link HeadState} message and back. */
final class HeadCodec {
  private HeadCodec() {}

  static HeadState toMessage(KnownHead knownHead) {
    Head head = knownHead.head();
    HeadState.Builder message =
        HeadState.newBuilder()
            .setRevision(knownHead.revision())
            .setVersion(head.version())
            .setDigest(head.digest())
            .setAuthor(head.author());
    head.intent()
        .ifPresent(
            intent ->
                message
                    .setHasIntent(true)
                    .setIntentOperation(intent.operation())
                    .setIntentDigest(intent.digest())
                    .setIntentAuthor(intent.author())
                    .setIntentAtMillis(intent.atMillis()));
    return message.build();
  }

  static KnownHead fromMessage(HeadState message) {
    Optional<Intent> intent =
        message.getHasIntent()
            ? Optional.of(
                new Intent(
                    message.getIntentOperation(),
                    message.getIntentDigest(),
                    message.getIntentAuthor(),
                    message.getIntentAtMillis()))
            : Optional.empty();
    return new KnownHead(
        message.getRevision(),
        new Head(message.getVersion(), message.getDigest(), message.getAuthor(), intent));
  }
}

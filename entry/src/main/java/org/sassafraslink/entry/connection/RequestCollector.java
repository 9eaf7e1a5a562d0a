package org.sassafraslink.entry.connection;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.sassafraslink.api.failure.Failure;

/**
 * Collects the parts of one request at a time.
 *
 * <p>The body is copied into one buffer, so that its pieces take no more memory than their bytes,
 * however small they are.
 */
final class RequestCollector {
  /** Bytes held for a request besides its headers and its body. */
  private static final long REQUEST_BYTES = 1_024;

  /** Bytes held for a header besides its text. */
  private static final long HEADER_BYTES = 200;

  /** Bytes held for a byte of a body as text, if the text has a character outside Latin-1. */
  private static final long TEXT_BYTES_PER_BODY_BYTE = 2;

  private static final int INITIAL_BODY_BYTES = 1_024;

  private final int maxBodyBytes;

  /** Null if no request is being collected. */
  private HttpRequest head;

  private long headBytes;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;

  RequestCollector(int maxBodyBytes) {
    this.maxBodyBytes = maxBodyBytes;
  }

  boolean isCollecting() {
    return head != null;
  }

  /** Begins a request. */
  void start(HttpRequest request) {
    head = request;
    headBytes = REQUEST_BYTES + request.headers().size() * HEADER_BYTES + request.uri().length();
  }

  /** Returns whether the headers of the request announce a body that is too large. */
  boolean announcesTooLargeBody() {
    return HttpUtil.getContentLength(head, 0L) > maxBodyBytes;
  }

  /** Adds a piece of the body; returns whether the body is not too large. */
  boolean add(ByteBuf piece) {
    int pieceBytes = piece.readableBytes();
    if (body.readableBytes() + pieceBytes > maxBodyBytes) {
      return false;
    }
    if (pieceBytes > 0) {
      if (body.capacity() == 0) {
        body = Unpooled.buffer(Math.max(INITIAL_BODY_BYTES, pieceBytes));
      }
      body.writeBytes(piece);
    }
    return true;
  }

  /** Ends the request and returns it. */
  ReceivedRequest finish() {
    int bodyBytes = body.readableBytes();
    ReceivedRequest request =
        new ReceivedRequest(
            head,
            body.toString(StandardCharsets.UTF_8),
            bodyBytes,
            Optional.empty(),
            headBytes + TEXT_BYTES_PER_BODY_BYTE * bodyBytes);
    reset();
    return request;
  }

  /** Ends the request with a failure, which takes its place. */
  ReceivedRequest fail(Failure failure) {
    ReceivedRequest request = new ReceivedRequest(head, "", 0, Optional.of(failure), REQUEST_BYTES);
    reset();
    return request;
  }

  /** Discards the request that is being collected. */
  void reset() {
    head = null;
    headBytes = 0;
    body.release();
    body = Unpooled.EMPTY_BUFFER;
  }

  /** Returns the bytes that are held for the request that is being collected. */
  long heldBytes() {
    return headBytes + body.capacity();
  }
}

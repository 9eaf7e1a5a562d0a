package org.sassafraslink.entry.crowd;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;

/** The bytes that clients of a crowd send. */
final class CrowdRequests {
  /** The largest body that the configuration allows. */
  static final int LARGEST_BODY_BYTES = 262_144;

  /** The largest total size of the headers of a request. */
  private static final int LARGEST_HEADER_BYTES = 16_384;

  private static final int PADDING_BYTES = 1_400;

  private static final AtomicLong NEXT_JOB_ID = new AtomicLong();

  private CrowdRequests() {}

  /** Returns the head of a request that submits a job, whose caller waits long for the answer. */
  static String post(String jobId, int bodyBytes) {
    return "POST "
        + StoreStandIn.PATH_PREFIX
        + jobId
        + " HTTP/1.1\r\nHost: "
        + StoreStandIn.HOST
        + "\r\nContent-Type: application/json\r\nX-Sassafraslink-Deadline-Ms: 60000\r\n"
        + "Content-Length: "
        + bodyBytes
        + "\r\n\r\n";
  }

  /** Returns an id that no other job has. */
  static String newJobId() {
    return String.format(Locale.ROOT, "%016x", NEXT_JOB_ID.incrementAndGet());
  }

  static byte[] nothing() {
    return new byte[0];
  }

  /** Returns a submission of a job with a body of the largest size. */
  static byte[] largestSubmission() {
    String start = "{\"spec\":\"x\",\"phases\":[{\"count\":1,\"cpu\":1}],\"note\":\"";
    String end = "\"}";
    String note = "n".repeat(LARGEST_BODY_BYTES - start.length() - end.length());
    return bytes(post(newJobId(), LARGEST_BODY_BYTES) + start + note + end);
  }

  /** Returns the same without the last byte. */
  static byte[] submissionWithoutEnd() {
    byte[] whole = largestSubmission();
    return Arrays.copyOf(whole, whole.length - 1);
  }

  /** Returns a request whose many short headers do not end. */
  static byte[] headersWithoutEnd() {
    String start = "GET " + StoreStandIn.PATH_PREFIX + " HTTP/1.1\r\nHost: " + StoreStandIn.HOST;
    String header = "\r\na:b";
    return bytes(start + header.repeat((LARGEST_HEADER_BYTES - start.length()) / header.length()));
  }

  /**
   * Returns many requests for an unknown path, one after the other. Their answers need no call to
   * the store.
   */
  static byte[] unknownPathRequests(int requests) {
    String padding = "\r\nPadding: " + "p".repeat(PADDING_BYTES);
    return bytes(("GET / HTTP/1.1\r\nHost: h" + padding + "\r\n\r\n").repeat(requests));
  }

  /** Returns many requests for the state of a job, one after the other. */
  static byte[] jobStateRequests(int requests) {
    return bytes(get(StoreStandIn.PATH_PREFIX + "00000000000000bb").repeat(requests));
  }

  private static String get(String path) {
    return String.format(
        Locale.ROOT, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, StoreStandIn.HOST);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}

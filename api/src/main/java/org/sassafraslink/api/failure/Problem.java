package org.sassafraslink.api.failure;

/**
 * The body of an {@code application/problem+json} answer as specified by RFC 9457.
 *
 * @param type the stable URI of the failure type
 * @param title the name of the failure type, for people
 * @param status the HTTP status code of the answer
 * @param detail one sentence about this failure, for people
 * @param notRun an extension member: true only if the requested work is known not to have run
 */
public record Problem(String type, String title, int status, String detail, boolean notRun) {
  /** Media type of a problem. */
  public static final String MEDIA_TYPE = "application/problem+json";
}

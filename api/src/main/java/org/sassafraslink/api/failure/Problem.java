package org.sassafraslink.api.failure;

/**
 * The body of an {@code application/problem+json} answer (RFC 9457).
 *
 * <p>{@code notRun} is an extension member: true only if the work certainly did not run.
 */
public record Problem(String type, String title, int status, String detail, boolean notRun) {
  /** The media type of a problem. */
  public static final String MEDIA_TYPE = "application/problem+json";
}

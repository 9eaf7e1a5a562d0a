package org.sassafraslink.entry;

import java.lang.reflect.Proxy;

/**
 * Handles the hang-up signal (SIGHUP), which the platform sends when the settings file has changed
 * and which would end the JVM by default.
 *
 * <p>The JDK has no public API for signals. Its internal class is called by reflection because the
 * compiler warns about every direct use.
 */
final class HangUpSignalHandler {
  private static final String SIGNAL_NAME = "HUP";

  private HangUpSignalHandler() {}

  /**
   * Installs a signal handler that runs {@code onSignal} on a new thread at each hang-up signal.
   *
   * @throws ReflectiveOperationException if this JDK lacks the internal signal classes
   */
  static void install(Runnable onSignal) throws ReflectiveOperationException {
    Class<?> signalType = Class.forName("sun.misc.Signal");
    Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
    Object signal = signalType.getConstructor(String.class).newInstance(SIGNAL_NAME);
    Object handler =
        Proxy.newProxyInstance(
            HangUpSignalHandler.class.getClassLoader(),
            new Class<?>[] {handlerType},
            (proxy, method, arguments) -> {
              if (method.getName().equals("handle")) {
                new Thread(onSignal, "hang-up").start();
              }
              return null;
            });
    signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, handler);
  }
}

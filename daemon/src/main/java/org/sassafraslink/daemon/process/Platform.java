package org.sassafraslink.daemon.process;

import org.sassafraslink.api.platform.ObjectStore;
import org.sassafraslink.api.platform.TableService;
import org.sassafraslink.api.platform.VmList;
import org.sassafraslink.api.platform.WorkerControl;
import org.sassafraslink.platform.HttpObjectStore;
import org.sassafraslink.platform.HttpTableService;
import org.sassafraslink.platform.HttpVmList;
import org.sassafraslink.platform.HttpWorkerControl;

/**
 * The clients of the platform's four services.
 *
 * @param table the transactional table service
 * @param objects the store of immutable objects
 * @param vms the list of VMs, which can also reboot a VM
 * @param workers the control of the workers and of the tasks on them
 */
public record Platform(TableService table, ObjectStore objects, VmList vms, WorkerControl workers) {
  /**
   * Creates clients that call the platform over HTTP. The workers are controlled at {@link
   * Setting#WORKER_URL} if it is set.
   */
  static Platform http(Settings settings) {
    String url = settings.text(Setting.PLATFORM_URL);
    String workerUrl = settings.text(Setting.WORKER_URL);
    var timeout = settings.duration(Setting.STORE_TIMEOUT);
    return new Platform(
        HttpTableService.create(url, timeout),
        HttpObjectStore.create(url, timeout),
        HttpVmList.create(url, timeout),
        HttpWorkerControl.create(workerUrl.isEmpty() ? url : workerUrl, timeout));
  }
}

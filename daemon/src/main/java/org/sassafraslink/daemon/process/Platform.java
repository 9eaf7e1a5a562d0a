package org.sassafraslink.daemon.process;

import org.sassafraslink.api.platform.ObjectStore;
import org.sassafraslink.api.platform.TableService;
import org.sassafraslink.api.platform.VmList;
import org.sassafraslink.api.platform.WorkerControl;
import org.sassafraslink.platform.HttpObjectStore;
import org.sassafraslink.platform.HttpTableService;
import org.sassafraslink.platform.HttpVmList;
import org.sassafraslink.platform.HttpWorkerControl;

/** The platform behind its four interfaces. */
public record Platform(TableService table, ObjectStore objects, VmList vms, WorkerControl workers) {
  /** Connects to the platform over HTTP. */
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

package org.sassafraslink.standins;

import com.google.common.collect.ImmutableList;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.sassafraslink.api.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Simulates the backend servers of all VMs in one process, with a listener for each VM and port.
 *
 * <p>It polls the platform stand-in for the VMs that are down for a reboot and closes their
 * listeners and connections. If a VM is rebooted while it still serves requests, these requests
 * fail for their callers and are counted: {@code GET /control/cut} returns the number of requests
 * whose connection was closed before they completed.
 */
public final class BackendStandIn {
  private static final Logger LOG = LoggerFactory.getLogger("backend-stand-in");
  private static final int MAX_REQUEST_BYTES = 4 * 1024 * 1024;
  private static final long REBOOT_POLL_INTERVAL_MILLIS = 50;

  /** The address on which a service instance of a VM listens. */
  private record InstanceEndpoint(String vm, String host, int port) {}

  /** An open listener with the connections that it accepted. */
  private record Listener(Channel serverChannel, ChannelGroup connections) {}

  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(1);
  private final Map<InstanceEndpoint, Listener> listeners = new LinkedHashMap<>();
  private final List<InstanceEndpoint> endpoints;
  private final int slotsPerInstance;
  private final OkHttpClient platformClient = new OkHttpClient();
  private final RunLog runLog;
  private final AtomicLong interruptedRequests = new AtomicLong();

  private BackendStandIn(List<InstanceEndpoint> endpoints, int slotsPerInstance, RunLog runLog) {
    this.runLog = runLog;
    this.endpoints = endpoints;
    this.slotsPerInstance = slotsPerInstance;
  }

  /**
   * Opens a listener for each {@code --endpoint}, then starts to poll the platform stand-in and
   * starts the control server.
   */
  public static void main(String[] args) {
    OptionParser parser = new OptionParser();
    OptionSpec<String> endpointOption =
        parser
            .accepts("endpoint", "vm,host,port")
            .withRequiredArg()
            .withValuesSeparatedBy(' ')
            .required();
    OptionSpec<Integer> slotsOption =
        parser.accepts("slots").withRequiredArg().ofType(Integer.class).defaultsTo(8);
    OptionSpec<String> runsFileOption =
        parser
            .accepts("runs-file", "file to which the token of each request that runs is appended")
            .withRequiredArg();
    OptionSpec<String> platformOption = parser.accepts("platform").withRequiredArg().required();
    OptionSpec<Integer> controlPortOption =
        parser.accepts("control-port").withRequiredArg().ofType(Integer.class).defaultsTo(9500);
    OptionSet options = parser.parse(args);
    ImmutableList<InstanceEndpoint> endpoints =
        options.valuesOf(endpointOption).stream()
            .map(BackendStandIn::parseEndpoint)
            .collect(ImmutableList.toImmutableList());
    BackendStandIn backend =
        new BackendStandIn(
            endpoints,
            options.valueOf(slotsOption),
            RunLog.appendingTo(Optional.ofNullable(options.valueOf(runsFileOption)).map(Path::of)));
    endpoints.forEach(backend::openListener);
    backend.startControlServerAndPolling(
        options.valueOf(platformOption), options.valueOf(controlPortOption));
  }

  private static InstanceEndpoint parseEndpoint(String spec) {
    String[] parts = spec.split(",", -1);
    return new InstanceEndpoint(parts[0], parts[1], Integer.parseInt(parts[2]));
  }

  private void startControlServerAndPolling(String platformUrl, int controlPort) {
    var unused =
        scheduler.scheduleWithFixedDelay(
            () -> updateListeners(platformUrl),
            0,
            REBOOT_POLL_INTERVAL_MILLIS,
            TimeUnit.MILLISECONDS);
    HttpServers.start(
        "127.0.0.1",
        controlPort,
        2,
        app -> {
          app.get("/control/cut", ctx -> Json.write(interruptedRequests.get()));
        });
    LOG.info("Backend stand-in listens on {} endpoints.", endpoints.size());
  }

  private synchronized void openListener(InstanceEndpoint endpoint) {
    ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    InstanceStandIn instance =
        InstanceStandIn.create(
            endpoint.vm(),
            endpoint.port(),
            slotsPerInstance,
            scheduler,
            runLog,
            interruptedRequests);
    Channel serverChannel =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel connection) {
                    connections.add(connection);
                    connection
                        .pipeline()
                        .addLast(new HttpRequestDecoder())
                        .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
                        .addLast(instance.newHandler());
                  }
                })
            .bind(endpoint.host(), endpoint.port())
            .syncUninterruptibly()
            .channel();
    listeners.put(endpoint, new Listener(serverChannel, connections));
  }

  /** Closes the listener of {@code endpoint} and all its connections. */
  private synchronized void closeListener(InstanceEndpoint endpoint) {
    Listener listener = listeners.remove(endpoint);
    listener.serverChannel().close().syncUninterruptibly();
    listener.connections().close().awaitUninterruptibly();
  }

  /** Closes the listeners of VMs that are down, and reopens those of VMs that are up again. */
  private void updateListeners(String platformUrl) {
    Request request = new Request.Builder().url(platformUrl + "/control/down").build();
    try (Response response = platformClient.newCall(request).execute()) {
      ImmutableList<?> downVms = Json.readTrusted(response.body().string(), ImmutableList.class);
      for (InstanceEndpoint endpoint : endpoints) {
        boolean isOpen = listeners.containsKey(endpoint);
        if (isOpen && downVms.contains(endpoint.vm())) {
          closeListener(endpoint);
        } else if (!isOpen && !downVms.contains(endpoint.vm())) {
          openListener(endpoint);
        }
      }
    } catch (IOException e) {
      LOG.debug("The platform stand-in did not answer; the listeners stay as they are.", e);
    }
  }
}

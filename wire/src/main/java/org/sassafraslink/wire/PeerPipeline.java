package org.sassafraslink.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import java.util.function.BiConsumer;
import org.sassafraslink.wire.generated.Envelope;

/** Builds the pipeline of a connection between peers: length-prefixed protobuf frames. */
final class PeerPipeline extends ChannelInitializer<Channel> {
  /** The largest frame, in bytes; a configuration travels in one frame. */
  static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

  private static final int LENGTH_BYTES = 4;

  private final BiConsumer<Channel, Envelope> onMessage;

  PeerPipeline(BiConsumer<Channel, Envelope> onMessage) {
    this.onMessage = onMessage;
  }

  @Override
  protected void initChannel(Channel channel) {
    channel
        .pipeline()
        .addLast(
            new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
        .addLast(new ProtobufDecoder(Envelope.getDefaultInstance()))
        .addLast(new ProtobufEncoder())
        .addLast(new MessageHandler(onMessage));
  }

  /** Hands messages on, and closes a connection on which anything else arrives. */
  private static final class MessageHandler extends SimpleChannelInboundHandler<Envelope> {
    private final BiConsumer<Channel, Envelope> onMessage;

    MessageHandler(BiConsumer<Channel, Envelope> onMessage) {
      this.onMessage = onMessage;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope message) {
      onMessage.accept(context.channel(), message);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}

#include "testing/raw_tcp.h"

#include <cstdlib>

#include <linux/filter.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

namespace cyclamenwind::testing {

Address loopbackAddress(uint16_t Port) {
  constexpr int ValuesPerByte = 250;
  int ProcessId = static_cast<int>(::getpid());
  return {"127.77." +
              std::to_string(ProcessId / ValuesPerByte % ValuesPerByte) + "." +
              std::to_string(1 + ProcessId % ValuesPerByte),
          Port};
}

bool runUntil(Loop &TheLoop, const std::function<bool()> &Condition,
              Duration Limit) {
  TimePoint End = TheLoop.now() + Limit;
  bool Satisfied = Condition();
  if (Satisfied)
    return true;
  TimerHandle Check = TheLoop.every(1ms, [&] {
    Satisfied = Condition();
    if (Satisfied || TheLoop.now() >= End)
      TheLoop.stop();
  });
  TheLoop.run();
  return Satisfied;
}

void runFor(Loop &TheLoop, Duration Length) {
  TimerHandle End = TheLoop.after(Length, [&] { TheLoop.stop(); });
  TheLoop.run();
}

RawStream::RawStream(Loop &TheLoop, const Address &To) {
  open(TheLoop, -1);
  sockaddr_in Socket = To.socketAddress();
  bufferevent_socket_connect(Stream, reinterpret_cast<sockaddr *>(&Socket),
                             sizeof Socket);
}

RawStream::RawStream(Loop &TheLoop, evutil_socket_t Accepted) {
  open(TheLoop, Accepted);
}

RawStream::~RawStream() { close(); }

void RawStream::open(Loop &TheLoop, evutil_socket_t Descriptor) {
  Stream =
      bufferevent_socket_new(TheLoop.base(), Descriptor, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(Stream, &RawStream::onReadable, nullptr,
                    &RawStream::onEvent, this);
  bufferevent_enable(Stream, EV_READ | EV_WRITE);
}

void RawStream::write(std::string_view Bytes) {
  if (Stream != nullptr)
    bufferevent_write(Stream, Bytes.data(), Bytes.size());
}

size_t RawStream::unsentBytes() const {
  return Stream == nullptr
             ? 0
             : evbuffer_get_length(bufferevent_get_output(Stream));
}

void RawStream::close() {
  if (Stream == nullptr)
    return;
  bufferevent_flush(Stream, EV_WRITE, BEV_FLUSH);
  evbuffer *Output = bufferevent_get_output(Stream);
  evbuffer_unfreeze(Output, 1);
  evbuffer_write(Output, bufferevent_getfd(Stream));
  bufferevent_free(Stream);
  Stream = nullptr;
}

void RawStream::dropArrivals() {
  sock_filter DropAll = {BPF_RET | BPF_K, 0, 0, 0};
  sock_fprog Program = {1, &DropAll};
  setsockopt(bufferevent_getfd(Stream), SOL_SOCKET, SO_ATTACH_FILTER, &Program,
             sizeof Program);
}

void RawStream::stopReading() { bufferevent_disable(Stream, EV_READ); }

void RawStream::resumeReading() { bufferevent_enable(Stream, EV_READ); }

void RawStream::onReadable(bufferevent *Stream, void *Self) {
  auto *This = static_cast<RawStream *>(Self);
  evbuffer *Input = bufferevent_get_input(Stream);
  std::string Bytes(evbuffer_get_length(Input), '\0');
  evbuffer_remove(Input, Bytes.data(), Bytes.size());
  This->Received += Bytes;
  if (This->OnData)
    This->OnData(*This);
}

void RawStream::onEvent(bufferevent *, short Events, void *Self) {
  if (Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    static_cast<RawStream *>(Self)->Ended = true;
}

RawListener::RawListener(Loop &TheLoop, const Address &Listen,
                         std::function<void(RawStream &)> OnData)
    : TheLoop(TheLoop), OnData(std::move(OnData)) {
  sockaddr_in Socket = Listen.socketAddress();
  Listener = evconnlistener_new_bind(
      TheLoop.base(), &RawListener::onAccepted, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      reinterpret_cast<sockaddr *>(&Socket), sizeof Socket);
  if (Listener == nullptr)
    std::abort();
}

RawListener::~RawListener() { evconnlistener_free(Listener); }

void RawListener::onAccepted(evconnlistener *, evutil_socket_t Descriptor,
                             sockaddr *, int, void *Self) {
  auto *This = static_cast<RawListener *>(Self);
  This->Streams.push_back(
      std::make_unique<RawStream>(This->TheLoop, Descriptor));
  This->Streams.back()->OnData = This->OnData;
}

} // namespace cyclamenwind::testing

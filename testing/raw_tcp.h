// RawListener and RawStream: TCP as bytes, for peers that break the protocol.

#ifndef CYCLAMENWIND_TESTING_RAW_TCP_H
#define CYCLAMENWIND_TESTING_RAW_TCP_H

#include "cyclamenwind/base/address.h"
#include "cyclamenwind/base/loop.h"

#include <string>
#include <string_view>

struct bufferevent;
struct evconnlistener;

namespace cyclamenwind::testing {

// An address on loopback that other processes do not use.
Address loopbackAddress(uint16_t Port);

// Runs the loop until Condition holds; says whether it did within Limit.
bool runUntil(Loop &TheLoop, const std::function<bool()> &Condition,
              Duration Limit = 20s);

void runFor(Loop &TheLoop, Duration Span);

class RawStream {
public:
  // Connects to To.
  RawStream(Loop &TheLoop, const Address &To);
  // Takes over an accepted socket.
  RawStream(Loop &TheLoop, evutil_socket_t Accepted);
  ~RawStream();
  RawStream(const RawStream &) = delete;
  RawStream &operator=(const RawStream &) = delete;

  void write(std::string_view Bytes);
  void close();

  // Drops all further segments that arrive, so that nothing is acknowledged.
  void dropArrivals();

  // Leaves arriving bytes in the kernel.
  void stopReading();
  void resumeReading();

  std::string Received;
  bool Ended = false; // By the other end.
  std::function<void(RawStream &)> OnData;

private:
  void open(Loop &TheLoop, evutil_socket_t Descriptor);
  static void readable(bufferevent *Stream, void *Self);
  static void eventSeen(bufferevent *, short What, void *Self);

  bufferevent *Stream = nullptr;
};

class RawListener {
public:
  RawListener(Loop &TheLoop, const Address &Listen,
              std::function<void(RawStream &)> OnData);
  ~RawListener();
  RawListener(const RawListener &) = delete;
  RawListener &operator=(const RawListener &) = delete;

  std::vector<std::unique_ptr<RawStream>> Streams;

private:
  static void accepted(evconnlistener *, evutil_socket_t Descriptor, sockaddr *,
                       int, void *Self);

  Loop &TheLoop;
  std::function<void(RawStream &)> OnData;
  evconnlistener *Listener;
};

} // namespace cyclamenwind::testing

#endif

// RawListener and RawStream: raw TCP connections, for peers that violate the
// protocol.

#ifndef CYCLAMENWIND_TESTING_RAW_TCP_H
#define CYCLAMENWIND_TESTING_RAW_TCP_H

#include "cyclamenwind/base/address.h"
#include "cyclamenwind/base/loop.h"

#include <string>
#include <string_view>

struct bufferevent;
struct evconnlistener;

namespace cyclamenwind::testing {

// A loopback address derived from the process id, so that test processes do not
// share it.
Address loopbackAddress(uint16_t Port);

// Runs the loop until Condition holds or Limit has passed. Returns whether
// Condition held.
bool runUntil(Loop &TheLoop, const std::function<bool()> &Condition,
              Duration Limit = 20s);

void runFor(Loop &TheLoop, Duration Length);

class RawStream {
public:
  // Connects to To.
  RawStream(Loop &TheLoop, const Address &To);
  // Takes ownership of an accepted socket.
  RawStream(Loop &TheLoop, evutil_socket_t Accepted);
  ~RawStream();
  RawStream(const RawStream &) = delete;
  RawStream &operator=(const RawStream &) = delete;

  void write(std::string_view Bytes);
  // Bytes written that the kernel has not taken yet.
  size_t unsentBytes() const;
  void close();

  // Drops all segments that arrive from now on, so that none is acknowledged.
  void dropArrivals();

  // Stops or resumes reading. While reading is stopped, received bytes stay in
  // the kernel.
  void stopReading();
  void resumeReading();

  std::string Received;
  bool Ended = false; // The peer closed, or the connection failed.
  std::function<void(RawStream &)> OnData;

private:
  void open(Loop &TheLoop, evutil_socket_t Descriptor);
  static void onReadable(bufferevent *Stream, void *Self);
  static void onEvent(bufferevent *, short Events, void *Self);

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
  static void onAccepted(evconnlistener *, evutil_socket_t Descriptor,
                         sockaddr *, int, void *Self);

  Loop &TheLoop;
  std::function<void(RawStream &)> OnData;
  evconnlistener *Listener;
};

} // namespace cyclamenwind::testing

#endif

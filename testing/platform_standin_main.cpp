// platform_standin IP:PORT: serves the platform's object API until SIGTERM.

#include "testing/platform_server.h"

#include <csignal>
#include <cstdio>

int main(int Count, char **Arguments) {
  using namespace cyclamenwind;
  std::optional<Address> Listen;
  if (Count == 2)
    Listen = parseAddress(Arguments[1]);
  if (!Listen) {
    std::fprintf(stderr, "usage: platform_standin IP:PORT\n");
    return 2;
  }
  Loop TheLoop;
  testing::PlatformServer Server(TheLoop, *Listen);
  TimerHandle TermSignal = TheLoop.onSignal(SIGTERM, [&] { TheLoop.stop(); });
  TheLoop.run();
  return 0;
}

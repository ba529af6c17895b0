// cyclamenctl: the operators' command line.

#include "cyclamenwind/ctl/commands.h"

#include <iostream>

int main(int Count, char **Arguments) {
  cyclamenwind::ctl::HttpDaemonClient Client;
  return cyclamenwind::ctl::run(Count, Arguments, Client, std::cout, std::cerr);
}

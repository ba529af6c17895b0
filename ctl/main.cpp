// cyclamenctl: the operators' command line.

#include "cyclamenwind/ctl/commands.h"

#include <iostream>

int main(int Count, char **Arguments) {
  cyclamenwind::ctl::HttpConnection Link;
  return cyclamenwind::ctl::run(Count, Arguments, Link, std::cout, std::cerr);
}

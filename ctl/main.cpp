// cyclamenctl: the operators' command line.

#include "cyclamenwind/ctl/commands.h"

int main(int Count, char **Arguments) {
  return cyclamenwind::ctl::run(Count, Arguments);
}

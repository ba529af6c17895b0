// Address: an IPv4 address and a port.

#ifndef CYCLAMENWIND_BASE_ADDRESS_H
#define CYCLAMENWIND_BASE_ADDRESS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include <netinet/in.h>

namespace cyclamenwind {

struct Address {
  std::string Host;
  uint16_t Port = 0;

  bool operator==(const Address &) const = default;
  bool operator<(const Address &Other) const {
    return std::tie(Host, Port) < std::tie(Other.Host, Other.Port);
  }

  // Formats as "a.b.c.d:port", such as "127.0.0.1:7000".
  std::string text() const;
  sockaddr_in socketAddress() const;
};

// Parses "a.b.c.d:port". Returns nothing if Text is malformed or the port is 0.
std::optional<Address> parseAddress(std::string_view Text);

Address addressOf(const sockaddr_in &Socket);

} // namespace cyclamenwind

#endif

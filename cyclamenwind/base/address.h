// Address: an IP number and port.

#ifndef CYCLAMENWIND_BASE_ADDRESS_H
#define CYCLAMENWIND_BASE_ADDRESS_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <netinet/in.h>

namespace cyclamenwind {

struct Address {
  std::string Host;
  uint16_t Port = 0;

  auto operator<=>(const Address &) const = default;

  // "127.0.0.1:7000".
  std::string text() const;
  sockaddr_in socketAddress() const;
};

// Parses "a.b.c.d:port"; nothing if malformed or the port is 0.
std::optional<Address> parseAddress(std::string_view Text);

Address addressOf(const sockaddr_in &Socket);

} // namespace cyclamenwind

#endif

#include "cyclamenwind/base/address.h"

#include <arpa/inet.h>
#include <charconv>

namespace cyclamenwind {

std::string Address::text() const { return Host + ":" + std::to_string(Port); }

sockaddr_in Address::socketAddress() const {
  sockaddr_in Socket = {};
  Socket.sin_family = AF_INET;
  Socket.sin_port = htons(Port);
  inet_pton(AF_INET, Host.c_str(), &Socket.sin_addr);
  return Socket;
}

std::optional<Address> parseAddress(std::string_view Text) {
  size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  Address Parsed;
  Parsed.Host = std::string(Text.substr(0, Colon));
  std::string_view Port = Text.substr(Colon + 1);
  auto [End, Error] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Parsed.Port);
  if (Error != std::errc() || End != Port.data() + Port.size())
    return std::nullopt;
  // inet_pton() reads up to the first zero byte only.
  if (Parsed.Host.find('\0') != std::string::npos)
    return std::nullopt;
  in_addr Number;
  if (Parsed.Port == 0 || inet_pton(AF_INET, Parsed.Host.c_str(), &Number) != 1)
    return std::nullopt;
  return Parsed;
}

Address addressOf(const sockaddr_in &Socket) {
  char Text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &Socket.sin_addr, Text, sizeof Text);
  return {Text, ntohs(Socket.sin_port)};
}

} // namespace cyclamenwind

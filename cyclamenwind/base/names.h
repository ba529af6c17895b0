// Conversion between the values of an enum and their names.
//
// A table is a constexpr array of {value, name}. nameIn() and valueIn() search
// it linearly, because tables are short.

#ifndef CYCLAMENWIND_BASE_NAMES_H
#define CYCLAMENWIND_BASE_NAMES_H

#include <array>
#include <optional>
#include <string_view>

namespace cyclamenwind {

template <typename E> struct EnumName {
  E Value;
  std::string_view Name;
};

// Returns the name of Value, or "invalid" if Table does not contain it.
template <typename E, size_t N>
constexpr std::string_view nameIn(const std::array<EnumName<E>, N> &Table,
                                  E Value) {
  for (const EnumName<E> &Entry : Table)
    if (Entry.Value == Value)
      return Entry.Name;
  return "invalid";
}

// Returns the value named Name. Returns nothing if Table does not contain it.
template <typename E, size_t N>
constexpr std::optional<E> valueIn(const std::array<EnumName<E>, N> &Table,
                                   std::string_view Name) {
  for (const EnumName<E> &Entry : Table)
    if (Entry.Name == Name)
      return Entry.Value;
  return std::nullopt;
}

} // namespace cyclamenwind

#endif

// Result: either a value or an error.
//
// Each layer defines its own error type (an enum class with a table of names,
// often together with a message) and converts the errors of the layer below.
// Accessing the alternative that is not held terminates the process.

#ifndef CYCLAMENWIND_BASE_RESULT_H
#define CYCLAMENWIND_BASE_RESULT_H

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>

namespace cyclamenwind {

template <typename T, typename E>
using Result =
    boost::outcome_v2::basic_result<T, E, boost::outcome_v2::policy::terminate>;

using boost::outcome_v2::failure;
using boost::outcome_v2::success;

} // namespace cyclamenwind

#endif

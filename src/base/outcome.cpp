#include "endivelatch/base/outcome.hpp"

namespace endivelatch {

std::string_view to_string(outcome o)
{
    switch (o) {
    case outcome::complete:
        return "complete";
    case outcome::not_run:
        return "not_run";
    case outcome::failed:
        return "failed";
    case outcome::unknown:
        break;
    }
    return "unknown";
}

} // namespace endivelatch

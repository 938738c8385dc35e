#include "endivelatch/membership/member.hpp"

namespace endivelatch {

std::string_view to_string(member_status status)
{
    switch (status) {
    case member_status::alive:
        return "alive";
    case member_status::suspect:
        return "suspect";
    case member_status::leaving:
        return "leaving";
    case member_status::dead:
        break;
    }
    return "dead";
}

} // namespace endivelatch

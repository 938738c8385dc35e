#include "endivelatch/membership/summary.hpp"

namespace endivelatch {

std::string_view to_string(summary_kind kind)
{
    switch (kind) {
    case summary_kind::target_load:
        return "target_load";
    case summary_kind::pool_load:
        return "pool_load";
    case summary_kind::organisation_usage:
        return "organisation_usage";
    case summary_kind::config_version:
        return "config_version";
    case summary_kind::router_state:
        return "router_state";
    }
    return "unknown";
}

} // namespace endivelatch

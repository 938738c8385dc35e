#include "endivelatch/entry/log_level.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace endivelatch {

namespace {

using level = spdlog::level::level_enum;

/// Events about unusable objects or settings, which need a correction by an operator.
constexpr std::array<std::string_view, 4> errors{
    "configuration_unreadable", "registration_unreadable", "settings_kept", "run_superseded"};

constexpr std::array<std::string_view, 17> warnings{"attempt_broken",
                                                    "attempt_hung",
                                                    "answer_skipped",
                                                    "answer_unusable",
                                                    "no_target",
                                                    "request_refused",
                                                    "request_unreadable",
                                                    "target_ejected",
                                                    "store_lost",
                                                    "store_history_gone",
                                                    "copy_not_read",
                                                    "gossip_unreadable",
                                                    "paused",
                                                    "log_lines_dropped",
                                                    "stream_faulty",
                                                    "evacuations_unknown",
                                                    "connections_refused"};

template <std::size_t Count>
bool contains(const std::array<std::string_view, Count>& names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

spdlog::level::level_enum level_of(const log_event& event)
{
    if (contains(errors, event.name())) {
        return level::err;
    }
    if (contains(warnings, event.name())) {
        return level::warn;
    }
    const auto outcome = event.field("outcome");
    const bool has_failed =
        event.name() == "request_finished" && outcome != "complete" && outcome != "caller_left";
    return has_failed ? level::warn : level::info;
}

spdlog::level::level_enum more_verbose(spdlog::level::level_enum from)
{
    return from == level::err ? level::warn : level::info;
}

spdlog::level::level_enum less_verbose(spdlog::level::level_enum from)
{
    return from == level::info ? level::warn : level::err;
}

} // namespace endivelatch

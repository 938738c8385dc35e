#pragma once

#include "endivelatch/base/log_event.hpp"

#include <spdlog/common.h>

/// How serious the events of an entry router are, and how the level of its log changes.
namespace endivelatch {

/// Returns `err` for what operators have to mend, `warn` for what callers or this router lost, and
/// `info` for everything else.
spdlog::level::level_enum level_of(const log_event& event);

/// Returns the next level that logs more, or less, among info, warn and err.
spdlog::level::level_enum more_verbose(spdlog::level::level_enum level);
spdlog::level::level_enum less_verbose(spdlog::level::level_enum level);

} // namespace endivelatch

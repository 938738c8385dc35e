#pragma once

#include "endivelatch/base/log_event.hpp"

#include <spdlog/common.h>

/// Log levels of the events of an entry router, and changes of the level of its log.
namespace endivelatch {

/// Returns `err` for events that need an operator, `warn` for failed requests and for losses of
/// this router, and `info` for all others.
spdlog::level::level_enum level_of(const log_event& event);

/// Returns the next more, or less, verbose level among info, warn and err.
spdlog::level::level_enum more_verbose(spdlog::level::level_enum level);
spdlog::level::level_enum less_verbose(spdlog::level::level_enum level);

} // namespace endivelatch

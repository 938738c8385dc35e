#pragma once

#include "serve/serve_fleet.hpp"

#include <string>
#include <vector>

namespace endivelatch::soak {

/// What a caller asked for.
enum class call_kind {
    safe,
    unsafe,
    once,  ///< A stream that may not be resumed.
    again, ///< A stream that may be resumed.
};

/// One request of a caller.
struct caller_record {
    call_kind kind = call_kind::safe;
    std::string attempt;
    std::string path;
    outgoing_id answer;
    bool has_left = false; ///< The caller closed its connection.
};

/// Returns the path of a request of the kind.
std::string path_of(call_kind kind, const std::string& attempt);

/// Returns the violations in the records of callers and replicas. Rules: unsafe requests run
/// at most once, others as often as their route allows; a refusal has not run; a success is the
/// replica's whole answer; events of streams come in order, each once.
std::vector<std::string> find_violations(const serve::serve_fleet& fleet,
                                         const std::vector<caller_record>& records);

} // namespace endivelatch::soak

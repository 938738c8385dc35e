#pragma once

#include "serve/serve_fleet.hpp"

#include <string>
#include <vector>

namespace endivelatch::soak {

/// Type of a request, which selects its route.
enum class request_type {
    safe,
    unsafe,
    stream,           ///< A stream that cannot be resumed.
    resumable_stream, ///< A stream that can be resumed on another replica.
};

/// A request sent by the test.
struct request_record {
    request_type type = request_type::safe;
    std::string attempt;
    std::string path;
    outgoing_id response_id;
    bool was_cancelled = false; ///< The caller closed its connection.
};

/// Returns the path of a request of the given type.
std::string request_path(request_type type, const std::string& attempt);

/// Checks the requests against the responses and the runs on the replicas, and returns the
/// violations. Unsafe requests run at most once, others as often as their route allows. A rejected
/// request has not run. A successful response is the replica's complete response. Stream events
/// arrive in order and without duplicates.
std::vector<std::string> find_violations(const serve::serve_fleet& fleet,
                                         const std::vector<request_record>& records);

} // namespace endivelatch::soak

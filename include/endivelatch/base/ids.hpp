#pragma once

#include "endivelatch/base/strong_id.hpp"

#include <optional>
#include <string>
#include <string_view>

/// Identifiers used by more than one library.
namespace endivelatch {

/// Configured name of a router, stable across restarts.
using router_id = string_id<struct router_id_tag>;
/// Number of a run of a router or target. It increases with every restart.
using incarnation = number_id<struct incarnation_tag>;
/// A failure domain, such as a data hall.
using domain_id = string_id<struct domain_id_tag>;
/// A region, which consists of several failure domains.
using region_id = string_id<struct region_id_tag>;
/// A back end: a model replica or a plain service.
using target_id = string_id<struct target_id_tag>;
/// A group of targets that serve the same kind of requests.
using pool_id = string_id<struct pool_id_tag>;
/// A customer of the fleet.
using organisation_id = string_id<struct organisation_id_tag>;
/// A user of an organisation.
using caller_id = string_id<struct caller_id_tag>;
/// A conversation, unique within its organisation.
using chat_id = string_id<struct chat_id_tag>;
/// Idempotency key of a booking, unique within its organisation.
using booking_key = string_id<struct booking_key_tag>;
/// Number of an attempt at running a request, starting at 1.
using attempt = number_id<struct attempt_tag, std::uint32_t>;
/// Number of an event within an answer stream, starting at 1.
using event_number = number_id<struct event_number_tag>;
/// Version of an object on the platform. Zero means that the object does not exist.
using object_version = number_id<struct object_version_tag>;
/// Fencing token: increases with every change of ownership and is checked by some targets.
using fencing_number = number_id<struct fencing_number_tag>;

/// Identifies a request across the fleet and across restarts of its entry router.
struct request_id {
    router_id entry;
    endivelatch::incarnation entry_incarnation;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const request_id&, const request_id&) = default;
};

/// Returns the id as `entry.incarnation.sequence`, with the numbers in hexadecimal.
std::string to_string(const request_id& id);

/// Parses the format of `to_string`; returns nothing when the text is malformed.
std::optional<request_id> parse_request_id(std::string_view text);

} // namespace endivelatch

template <>
struct std::hash<endivelatch::request_id> {
    std::size_t operator()(const endivelatch::request_id& id) const noexcept
    {
        const auto mixed = id.sequence * 0x9E3779B97F4A7C15ULL ^ id.entry_incarnation.value();
        return std::hash<endivelatch::router_id>{}(id.entry) ^ std::hash<std::uint64_t>{}(mixed);
    }
};

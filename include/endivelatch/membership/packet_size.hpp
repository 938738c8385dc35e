#pragma once

#include "endivelatch/membership/gossip.hpp"

#include <cstddef>

/// Upper bounds of encoded sizes in bytes, used to fill packets without encoding them.
namespace endivelatch {

/// Returns the maximum size of a packet without its updates, summaries, loads and
/// failures.
std::size_t packet_base_size(const gossip_packet& packet);

/// Returns the maximum size of one update.
std::size_t encoded_size(const member_update& update);

/// Returns the maximum size of one summary, without the header of its owner's group.
std::size_t encoded_size(const summary_entry& entry);

/// Returns the maximum size of the header of one owner's group of summaries.
std::size_t group_header_size(const summary_entry& entry);

/// Maximum size of a load report in bytes: target, requests and age with their field headers.
inline constexpr std::size_t load_report_size = 20;

/// Maximum size of the slowdown in a load report in bytes, with its field header.
inline constexpr std::size_t slowdown_size = 4;

/// Maximum size of a failure report in bytes: target, reporter and age with their field headers.
inline constexpr std::size_t failure_report_size = 20;

/// Maximum encoded size of a crash report with the maximum number of parts and a filter, including
/// its share of the list's header, and of a clearance.
inline constexpr std::size_t crash_report_size = 132 + part_filter::size;
inline constexpr std::size_t clearance_size = 24;

/// Maximum size of a limit report in bytes: target, limit and age with their field headers.
inline constexpr std::size_t limit_report_size = 20;

/// Maximum size of a usage report in bytes: header, pool and organisations.
inline constexpr std::size_t usage_report_size = 12 + 12 * max_reported_uses;

} // namespace endivelatch

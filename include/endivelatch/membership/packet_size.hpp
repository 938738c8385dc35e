#pragma once

#include "endivelatch/membership/gossip.hpp"

#include <cstddef>

/// Upper bounds of encoded sizes, in bytes, so that packets are filled without encoding them.
namespace endivelatch {

/// Returns the bound of a packet's fields, without its updates and summaries.
std::size_t packet_base_size(const gossip_packet& packet);

/// Returns the bound of one update.
std::size_t encoded_size(const member_update& update);

/// Returns the bound of one summary without the header of its owner's group.
std::size_t encoded_size(const summary_entry& entry);

/// Returns the bound of the header of one owner's group of summaries.
std::size_t group_header_size(const summary_entry& entry);

/// Largest size of a load report in a packet: target, requests and age with their field headers.
inline constexpr std::size_t load_report_size = 20;

} // namespace endivelatch

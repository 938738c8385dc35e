#include "endivelatch/membership/packet_size.hpp"

#include <bit>

namespace endivelatch {
namespace {

constexpr std::size_t bits_per_varint_byte = 7;
constexpr std::size_t field_header = 1;
constexpr std::size_t struct_end = 1;
constexpr std::size_t list_header = 4;

/// Returns the maximum size of a number encoded as a signed varint field.
std::size_t number_size(std::uint64_t n)
{
    const auto bits = static_cast<std::size_t>(std::bit_width(n)) + 1;
    return field_header + (bits + bits_per_varint_byte - 1) / bits_per_varint_byte;
}

/// Returns the maximum size of a string field.
std::size_t text_size(const std::string& text)
{
    return number_size(text.size()) + text.size();
}

std::size_t endpoint_size(const endpoint& it)
{
    return field_header + text_size(it.address) + number_size(it.port) + struct_end;
}

/// Returns the maximum size of an endpoint whose address is omitted if it equals that of `known`.
std::size_t endpoint_size(const endpoint& it, const endpoint& known)
{
    return endpoint_size({it.address == known.address ? std::string{} : it.address, it.port});
}

std::size_t details_size(const member& it)
{
    return field_header + text_size(it.domain.str()) + text_size(it.region.str()) +
           endpoint_size(it.gossip) + endpoint_size(it.link, it.gossip) +
           endpoint_size(it.http, it.gossip) + struct_end;
}

} // namespace

std::size_t packet_base_size(const gossip_packet& packet)
{
    constexpr std::size_t kind_and_flags = 4;
    constexpr std::size_t lists = 2 * (field_header + list_header);
    return kind_and_flags + text_size(packet.from.str()) + number_size(packet.from_run.value()) +
           number_size(packet.number) + number_size(packet.sequence) +
           number_size(packet.config.version) + number_size(packet.config.digest) +
           text_size(packet.subject.str()) + endpoint_size(packet.subject_address) +
           text_size(packet.cursor.str()) + lists + struct_end;
}

std::size_t encoded_size(const member_update& update)
{
    constexpr std::size_t status = 2;
    const auto base_size = text_size(update.subject.id.str()) +
                           number_size(update.subject.run.value()) +
                           number_size(update.refutation.value()) + status + struct_end;
    return base_size + (update.has_details ? details_size(update.subject) : 0);
}

std::size_t encoded_size(const summary_entry& entry)
{
    constexpr std::size_t kind_and_scope = 4;
    return kind_and_scope + text_size(entry.key.id) + number_size(entry.version.value()) +
           text_size(entry.value) + struct_end;
}

std::size_t group_header_size(const summary_entry& entry)
{
    return text_size(entry.owner.str()) + number_size(entry.owner_run.value()) + field_header +
           list_header + struct_end;
}

} // namespace endivelatch

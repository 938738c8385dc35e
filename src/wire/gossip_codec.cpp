#include "endivelatch/wire/codec.hpp"
#include "wire/message_structs.hpp"
#include "wire/thrift_buffer.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <string>
#include <utility>

namespace endivelatch {
namespace {

/// Converts the number to `Small`; throws when it is outside of [first, last].
template <class Small>
Small checked(std::int32_t n, std::int32_t first, std::int32_t last)
{
    if (n < first || n > last) {
        throw invalid_encoding{"number " + std::to_string(n) + " is out of range"};
    }
    return static_cast<Small>(n);
}

constexpr std::int32_t max_port = std::numeric_limits<std::uint16_t>::max();
constexpr std::int32_t max_age_ms = 660'000; ///< Longer than any report is kept.

thrift_wire::gossip_endpoint to_struct(const endpoint& it)
{
    thrift_wire::gossip_endpoint out;
    out.address = it.address;
    out.port = it.port;
    return out;
}

/// Converts the endpoint; the address is left empty when it equals that of `known`.
thrift_wire::gossip_endpoint to_struct(const endpoint& it, const endpoint& known)
{
    auto out = to_struct(it);
    if (it.address == known.address) {
        out.address.clear();
    }
    return out;
}

endpoint from_struct(thrift_wire::gossip_endpoint&& it, const endpoint& known = {})
{
    const auto port = checked<std::uint16_t>(it.port, 0, max_port);
    if (it.address.empty()) {
        return {known.address, port};
    }
    return {std::move(it.address), port};
}

thrift_wire::member_update to_struct(const member_update& it)
{
    thrift_wire::member_update out;
    out.id = it.subject.id.str();
    out.run = to_signed(it.subject.run.value());
    out.refutation = to_signed(it.refutation.value());
    out.status = static_cast<std::int32_t>(it.subject.status);
    if (it.has_details) {
        thrift_wire::member_details details;
        details.domain = it.subject.domain.str();
        details.region = it.subject.region.str();
        details.gossip = to_struct(it.subject.gossip);
        details.link = to_struct(it.subject.link, it.subject.gossip);
        details.http = to_struct(it.subject.http, it.subject.gossip);
        out.__set_details(details);
    }
    return out;
}

member_update from_struct(thrift_wire::member_update&& it)
{
    constexpr auto last = static_cast<std::int32_t>(member_status::dead);
    member_update out;
    out.subject.id = router_id{std::move(it.id)};
    out.subject.run = incarnation{to_unsigned(it.run)};
    out.subject.status = checked<member_status>(it.status, 0, last);
    out.refutation = refutation_number{to_unsigned(it.refutation)};
    out.has_details = it.__isset.details;
    if (out.has_details) {
        auto& details = it.details;
        out.subject.domain = domain_id{std::move(details.domain)};
        out.subject.region = region_id{std::move(details.region)};
        out.subject.gossip = from_struct(std::move(details.gossip));
        out.subject.link = from_struct(std::move(details.link), out.subject.gossip);
        out.subject.http = from_struct(std::move(details.http), out.subject.gossip);
    }
    return out;
}

thrift_wire::summary_item to_struct(const summary_entry& it)
{
    thrift_wire::summary_item out;
    out.kind = static_cast<std::int32_t>(it.key.kind);
    out.id = it.key.id;
    out.version = to_signed(it.version.value());
    out.scope = static_cast<std::int32_t>(it.scope);
    out.value = it.value;
    return out;
}

/// Groups consecutive entries of the same owner and run.
std::vector<thrift_wire::summary_group> to_groups(const std::vector<summary_entry>& entries)
{
    std::vector<thrift_wire::summary_group> out;
    for (const auto& it : entries) {
        const auto run = to_signed(it.owner_run.value());
        if (out.empty() || out.back().owner != it.owner.str() || out.back().owner_run != run) {
            out.emplace_back();
            out.back().owner = it.owner.str();
            out.back().owner_run = run;
        }
        out.back().items.push_back(to_struct(it));
    }
    return out;
}

summary_entry from_struct(thrift_wire::summary_item&& it, const router_id& owner, incarnation run)
{
    constexpr auto first = static_cast<std::int32_t>(summary_kind::target_load);
    constexpr auto last = static_cast<std::int32_t>(summary_kind::router_state);
    constexpr auto last_scope = static_cast<std::int32_t>(summary_scope::domain);
    summary_entry out;
    out.owner = owner;
    out.owner_run = run;
    out.key = {checked<summary_kind>(it.kind, first, last), std::move(it.id)};
    out.version = summary_version{to_unsigned(it.version)};
    out.scope = checked<summary_scope>(it.scope, 0, last_scope);
    out.value = std::move(it.value);
    return out;
}

/// Converts the items of a group and appends them to `out`.
void append_group(std::vector<summary_entry>& out, thrift_wire::summary_group&& group)
{
    const router_id owner{std::move(group.owner)};
    const incarnation run{to_unsigned(group.owner_run)};
    for (auto& it : group.items) {
        out.push_back(from_struct(std::move(it), owner, run));
    }
}

std::int32_t to_age_ms(duration age)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(ms, 0, max_age_ms));
}

duration from_age_ms(std::int32_t ms)
{
    return std::chrono::milliseconds{checked<std::uint32_t>(ms, 0, max_age_ms)};
}

constexpr double percent = 100;

thrift_wire::load_item to_struct(const load_report& it)
{
    thrift_wire::load_item out;
    out.target = to_signed(it.target.value());
    out.in_flight = to_signed(it.in_flight);
    out.age_ms = to_age_ms(it.age);
    if (it.slowdown && is_plausible_slowdown(*it.slowdown)) {
        out.__set_slowdown_percent(static_cast<std::int32_t>(std::lround(*it.slowdown * percent)));
    }
    return out;
}

load_report from_struct(const thrift_wire::load_item& it)
{
    load_report out{
        target_key{to_unsigned(it.target)}, to_unsigned(it.in_flight), from_age_ms(it.age_ms), {}};
    if (it.__isset.slowdown_percent && is_plausible_slowdown(it.slowdown_percent / percent)) {
        out.slowdown = it.slowdown_percent / percent;
    }
    return out;
}

thrift_wire::failure_item to_struct(const failure_report& it)
{
    thrift_wire::failure_item out;
    out.target = to_signed(it.target.value());
    out.reporter = to_signed(it.reporter.value());
    out.age_ms = to_age_ms(it.age);
    return out;
}

failure_report from_struct(const thrift_wire::failure_item& it)
{
    return {target_key{to_unsigned(it.target)}, router_key{to_unsigned(it.reporter)},
            from_age_ms(it.age_ms)};
}

thrift_wire::crash_item to_struct(const crash_report& it)
{
    thrift_wire::crash_item out;
    out.id = to_signed(it.id.value());
    out.target = to_signed(it.target.value());
    out.held_ms = to_age_ms(it.held);
    out.age_ms = to_age_ms(it.age);
    for (const auto part : it.parts) {
        out.parts.push_back(to_signed(part.value()));
    }
    out.all_parts = it.all_parts.bytes();
    out.__isset.all_parts = !out.all_parts.empty();
    return out;
}

crash_report from_struct(const thrift_wire::crash_item& it)
{
    crash_report out{crash_report_id{to_unsigned(it.id)},
                     target_key{to_unsigned(it.target)},
                     from_age_ms(it.held_ms),
                     from_age_ms(it.age_ms),
                     {},
                     part_filter::read(it.all_parts)};
    for (const auto part : it.parts) {
        out.parts.emplace_back(to_unsigned(part));
    }
    return out;
}

thrift_wire::clearance_item to_struct(const part_clearance& it)
{
    thrift_wire::clearance_item out;
    out.part = to_signed(it.part.value());
    out.age_ms = to_age_ms(it.age);
    out.__set_is_whole(true);
    return out;
}

part_clearance from_struct(const thrift_wire::clearance_item& it)
{
    return {part_key{to_unsigned(it.part)}, from_age_ms(it.age_ms)};
}

constexpr double milli_per_unit = 1'000;
constexpr std::int32_t no_limit = -1;

thrift_wire::limit_item to_struct(const limit_report& it)
{
    thrift_wire::limit_item out;
    out.target = to_signed(it.target.value());
    out.milli_per_s = no_limit;
    if (it.limit) {
        constexpr double largest = std::numeric_limits<std::int32_t>::max();
        out.milli_per_s = static_cast<std::int32_t>(
            std::clamp(it.limit->per_second * milli_per_unit, 0.0, largest));
    }
    out.age_ms = to_age_ms(it.age);
    return out;
}

limit_report from_struct(const thrift_wire::limit_item& it)
{
    limit_report out{target_key{to_unsigned(it.target)}, {}, from_age_ms(it.age_ms)};
    if (it.milli_per_s >= 0) {
        out.limit = request_rate{it.milli_per_s / milli_per_unit};
    }
    return out;
}

constexpr std::size_t usage_number_size = 4;
constexpr double us_per_ms = 1'000;

void append_number(std::string& out, std::uint32_t n)
{
    for (std::size_t i = 0; i < usage_number_size; ++i) {
        out += static_cast<char>((n >> (8 * i)) & 0xFF);
    }
}

/// Removes a number from the front of the bytes.
std::uint32_t take_number(std::string_view& bytes)
{
    std::uint32_t n = 0;
    for (std::size_t i = 0; i < usage_number_size; ++i) {
        n |= std::uint32_t{static_cast<unsigned char>(bytes[i])} << (8 * i);
    }
    bytes.remove_prefix(usage_number_size);
    return n;
}

std::uint32_t to_us(float ms)
{
    constexpr double largest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(ms * us_per_ms, 0.0, largest));
}

std::string write_usage(const usage_report& it)
{
    std::string out;
    if (it.uses.empty()) {
        return out;
    }
    append_number(out, it.pool.value());
    for (const auto& use : it.uses) {
        append_number(out, use.organisation.value());
        append_number(out, to_us(use.asked));
        append_number(out, to_us(use.served));
    }
    return out;
}

/// Throws if the bytes have another size than that of whole uses.
usage_report read_usage(std::string_view bytes)
{
    usage_report out;
    if (bytes.empty()) {
        return out;
    }
    constexpr auto use_size = 3 * usage_number_size;
    if (bytes.size() % use_size != usage_number_size ||
        bytes.size() / use_size > max_reported_uses) {
        throw invalid_encoding{"usage report of " + std::to_string(bytes.size()) + " bytes"};
    }
    out.pool = pool_key{take_number(bytes)};
    while (!bytes.empty()) {
        organisation_use use;
        use.organisation = organisation_key{take_number(bytes)};
        use.asked = static_cast<float>(take_number(bytes) / us_per_ms);
        use.served = static_cast<float>(take_number(bytes) / us_per_ms);
        out.uses.push_back(use);
    }
    return out;
}

thrift_wire::gossip_packet to_struct(const gossip_packet& it)
{
    thrift_wire::gossip_packet out;
    out.kind = static_cast<std::int32_t>(it.kind);
    out.sender = it.from.str();
    out.sender_run = to_signed(it.from_run.value());
    out.number = to_signed(it.number);
    out.sequence = to_signed(it.sequence);
    out.config_version = to_signed(it.config.version);
    out.config_digest = to_signed(it.config.digest);
    if (!it.subject.empty()) {
        out.__set_subject(it.subject.str());
    }
    if (it.subject_address != endpoint{}) {
        out.__set_subject_address(to_struct(it.subject_address));
    }
    if (!it.cursor.empty()) {
        out.__set_cursor(it.cursor.str());
    }
    if (it.sender_unknown) {
        out.__set_sender_unknown(true);
    }
    if (it.has_whole_list) {
        out.__set_has_whole_list(true);
    }
    for (const auto& update : it.members) {
        out.members.push_back(to_struct(update));
    }
    out.__isset.members = !out.members.empty();
    out.summaries = to_groups(it.summaries);
    out.__isset.summaries = !out.summaries.empty();
    for (const auto& load : it.loads) {
        out.loads.push_back(to_struct(load));
    }
    out.__isset.loads = !out.loads.empty();
    for (const auto& failure : it.failures) {
        out.failures.push_back(to_struct(failure));
    }
    out.__isset.failures = !out.failures.empty();
    for (const auto& crash : it.crashes.reports) {
        out.crashes.push_back(to_struct(crash));
    }
    out.__isset.crashes = !out.crashes.empty();
    for (const auto& clearance : it.crashes.clearances) {
        out.clearances.push_back(to_struct(clearance));
    }
    out.__isset.clearances = !out.clearances.empty();
    for (const auto& limit : it.limits) {
        out.limits.push_back(to_struct(limit));
    }
    out.__isset.limits = !out.limits.empty();
    out.usage = write_usage(it.usage);
    out.__isset.usage = !out.usage.empty();
    return out;
}

gossip_packet from_struct(thrift_wire::gossip_packet&& it)
{
    constexpr auto first = static_cast<std::int32_t>(gossip_kind::ping);
    constexpr auto last = static_cast<std::int32_t>(gossip_kind::loads);
    gossip_packet out;
    out.kind = checked<gossip_kind>(it.kind, first, last);
    out.from = router_id{std::move(it.sender)};
    out.from_run = incarnation{to_unsigned(it.sender_run)};
    out.number = to_unsigned(it.number);
    out.sequence = to_unsigned(it.sequence);
    out.config = {to_unsigned(it.config_version), to_unsigned(it.config_digest)};
    out.subject = router_id{std::move(it.subject)};
    out.subject_address = from_struct(std::move(it.subject_address));
    out.cursor = router_id{std::move(it.cursor)};
    out.sender_unknown = it.__isset.sender_unknown && it.sender_unknown;
    out.has_whole_list = it.__isset.has_whole_list && it.has_whole_list;
    for (auto& update : it.members) {
        out.members.push_back(from_struct(std::move(update)));
    }
    for (auto& group : it.summaries) {
        append_group(out.summaries, std::move(group));
    }
    for (const auto& load : it.loads) {
        out.loads.push_back(from_struct(load));
    }
    for (const auto& failure : it.failures) {
        out.failures.push_back(from_struct(failure));
    }
    for (const auto& crash : it.crashes) {
        out.crashes.reports.push_back(from_struct(crash));
    }
    for (const auto& clearance : it.clearances) {
        if (clearance.is_whole) {
            out.crashes.clearances.push_back(from_struct(clearance));
        }
    }
    for (const auto& limit : it.limits) {
        out.limits.push_back(from_struct(limit));
    }
    out.usage = read_usage(it.usage);
    return out;
}

/// Decodes a packet; throws on malformed input.
gossip_packet read_packet(std::string_view bytes)
{
    thrift_reader reader{bytes};
    thrift_wire::gossip_packet packet;
    reader.read(packet);
    if (!reader.at_end()) {
        throw invalid_encoding{"trailing bytes after the packet"};
    }
    return from_struct(std::move(packet));
}

} // namespace

std::string encode(const gossip_packet& packet)
{
    thrift_writer writer;
    writer.write(to_struct(packet));
    return std::string{writer.bytes()};
}

result<gossip_packet> decode_gossip(std::string_view bytes)
{
    if (bytes.size() > max_gossip_size) {
        return one_finding("packet", "has " + std::to_string(bytes.size()) +
                                         " bytes, the limit is " + std::to_string(max_gossip_size));
    }
    try {
        return read_packet(bytes);
    }
    catch (const std::exception& e) {
        return one_finding("packet", e.what());
    }
}

} // namespace endivelatch

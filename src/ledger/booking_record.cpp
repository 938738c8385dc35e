#include "endivelatch/ledger/booking_record.hpp"

#include "endivelatch/base/digest.hpp"
#include "endivelatch/base/hash.hpp"
#include "endivelatch/base/json_text.hpp"
#include "endivelatch/ledger/ledger_settings.hpp"

#include <array>
#include <nlohmann/json.hpp>

namespace endivelatch {

namespace {

using nlohmann::json;

constexpr std::size_t record_overhead = 192; // Bytes of JSON syntax and short fields.
constexpr std::array<std::string_view, 3> state_names{"started", "done", "cancelled"};
constexpr std::array outcomes{outcome::complete, outcome::not_run, outcome::failed,
                              outcome::unknown};

json to_json(const booking_record& record)
{
    json out{{"state", state_names.at(static_cast<std::size_t>(record.state))},
             {"digest", to_base64url(record.digest)},
             {"start", record.start_id}};
    if (record.state != record_state::done) {
        return out;
    }
    out["outcome"] = to_string(record.result);
    out["status"] = record.status;
    out["type"] = to_base64url(record.content_type);
    if (record.body_kept) {
        out["body"] = to_base64url(record.body);
    }
    return out;
}

/// Parses one record and collects the errors in its fields.
class record_reader {
public:
    record_reader(const json& value, std::string path, findings& faults)
        : value_{value}, path_{std::move(path)}, faults_{faults}
    {
    }

    booking_record read()
    {
        booking_record out;
        out.state = parsed_state();
        out.digest = base64_field("digest");
        out.start_id = string_field("start");
        if (out.state != record_state::done) {
            return out;
        }
        out.result = parsed_outcome();
        out.content_type = base64_field("type");
        out.body_kept = value_.contains("body");
        out.body = out.body_kept ? base64_field("body") : std::string{};
        if (const auto it = value_.find("status"); it != value_.end() && it->is_number_integer()) {
            out.status = it->get<std::int32_t>();
        }
        return out;
    }

private:
    void report(std::string_view field, std::string message)
    {
        faults_.push_back({path_ + "/" + std::string{field}, std::move(message)});
    }

    std::string string_field(std::string_view field)
    {
        const auto it = value_.find(field);
        if (it == value_.end() || !it->is_string()) {
            report(field, "is not a string");
            return {};
        }
        return it->get<std::string>();
    }

    std::string base64_field(std::string_view field)
    {
        auto decoded = from_base64url(string_field(field));
        if (!decoded) {
            report(field, "is not base64url");
            return {};
        }
        return *std::move(decoded);
    }

    record_state parsed_state()
    {
        const auto name = string_field("state");
        for (std::size_t n = 0; n < state_names.size(); ++n) {
            if (name == state_names.at(n)) {
                return static_cast<record_state>(n);
            }
        }
        report("state", "state \"" + name + "\" does not exist");
        return record_state::started;
    }

    outcome parsed_outcome()
    {
        const auto name = string_field("outcome");
        for (const auto candidate : outcomes) {
            if (name == to_string(candidate)) {
                return candidate;
            }
        }
        report("outcome", "outcome \"" + name + "\" does not exist");
        return outcome::unknown;
    }

    const json& value_;
    std::string path_;
    findings& faults_;
};

} // namespace

std::string record_name(const organisation_id& organisation, const booking_key& key)
{
    return organisation.str() + "/" + key.str();
}

std::uint32_t shard_of(const organisation_id& organisation, const booking_key& key)
{
    return static_cast<std::uint32_t>(stable_hash(record_name(organisation, key)) % ledger_shards);
}

std::int64_t bucket_of(wall_time key_time)
{
    return key_time.time_since_epoch() / ledger_bucket_span;
}

std::string bucket_object_name(std::uint32_t shard, std::int64_t bucket)
{
    return "ledger/" + std::to_string(shard) + "/" + std::to_string(bucket);
}

std::size_t max_stored_size(std::string_view name, const booking_record& record)
{
    constexpr std::size_t base64_block = 4; // Base64 encodes three bytes as four characters.
    const auto raw = record.digest.size() + record.content_type.size() + record.body.size();
    return record_overhead + 2 * name.size() + record.start_id.size() + raw * base64_block / 3;
}

std::string to_json_member(const std::string& name, const booking_record& record)
{
    auto out = json(name).dump();
    out += ':';
    out += to_json(record).dump();
    return out;
}

std::string merge_members(const json_members& stored, const json_members& changed)
{
    constexpr std::string_view begin = R"({"records":{)";
    constexpr std::string_view end = "}}";
    std::size_t size = begin.size() + end.size();
    for (const auto* const members : {&stored, &changed}) {
        for (const auto& [name, member] : *members) {
            size += member.size() + 1;
        }
    }
    std::string out;
    out.reserve(size);
    out += begin;
    const auto add = [&](const std::string& member) {
        out += out.size() == begin.size() ? "" : ",";
        out += member;
    };
    for (const auto& [name, member] : stored) {
        if (!changed.contains(name)) {
            add(member);
        }
    }
    for (const auto& [name, member] : changed) {
        add(member);
    }
    out += end;
    return out;
}

std::string to_document(const booking_records& records)
{
    json_members members;
    for (const auto& [name, record] : records) {
        members.emplace(name, to_json_member(name, record));
    }
    return merge_members(members, {});
}

result<booking_records> parse_records(const std::string& object, const std::string& document)
{
    const auto root = parse_json(document);
    if (!root.is_object() || !root.contains("records") || !root["records"].is_object()) {
        return one_finding(object, "is not a document of booking records");
    }
    findings faults;
    booking_records out;
    for (const auto& [name, value] : root["records"].items()) {
        auto path = object + "#/records/";
        path += name;
        if (!value.is_object()) {
            faults.push_back({path, "is not an object"});
            continue;
        }
        out.emplace(name, record_reader{value, path, faults}.read());
    }
    if (!faults.empty()) {
        return faults;
    }
    return out;
}

} // namespace endivelatch

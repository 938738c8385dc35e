#pragma once

#include "endivelatch/base/outcome.hpp"
#include "endivelatch/base/result.hpp"
#include "endivelatch/ledger/booking.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace endivelatch {

/// State of a stored booking.
enum class record_state {
    started,   ///< May be running or may have run; must not be started again.
    done,      ///< Has run; the result is final.
    cancelled, ///< Did not run; may be started again.
};

/// A booking as stored in the platform.
struct booking_record {
    record_state state = record_state::started;
    std::string digest;   ///< Binary SHA-256 of the body.
    std::string start_id; ///< Unique id of the start: `router.incarnation.sequence`.
    outcome result = outcome::unknown;
    std::int32_t status = 0;
    std::string content_type;
    std::string body;
    bool body_kept = true; ///< False if the body was too large to store.

    friend bool operator==(const booking_record&, const booking_record&) = default;
};

/// The records of one object, keyed by `organisation/key`.
using booking_records = std::map<std::string, booking_record, std::less<>>;

/// Returns the name of a booking's record within its object.
std::string record_name(const organisation_id& organisation, const booking_key& key);

/// Returns the shard that stores the key.
std::uint32_t shard_of(const organisation_id& organisation, const booking_key& key);

/// Returns the number of the bucket that stores keys of the given time.
std::int64_t bucket_of(wall_time key_time);

/// Returns the object name of a bucket: `ledger/<shard>/<bucket>`.
std::string bucket_object_name(std::uint32_t shard, std::int64_t bucket);

/// Returns an upper bound for the stored size of a record, in bytes.
std::size_t max_stored_size(std::string_view name, const booking_record& record);

/// Records serialised as JSON members `"name":{...}`, keyed by name.
using json_members = std::map<std::string, std::string, std::less<>>;

/// Serialises a record as a JSON member.
std::string to_json_member(const std::string& name, const booking_record& record);

/// Returns the document with the members of `stored` and `changed`. Members of `changed` replace
/// those of the same name.
std::string merge_members(const json_members& stored, const json_members& changed);

/// Serialises the records as a document.
std::string to_document(const booking_records& records);

/// Parses a document. Returns its records, or every error with its path.
result<booking_records> parse_records(const std::string& object, const std::string& document);

} // namespace endivelatch

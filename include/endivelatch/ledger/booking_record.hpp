#pragma once

#include "endivelatch/base/outcome.hpp"
#include "endivelatch/base/result.hpp"
#include "endivelatch/ledger/booking.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace endivelatch {

/// State of one booking in the ledger.
enum class record_state {
    started,   ///< May be running or have run; never started again.
    done,      ///< Has run; the result is final.
    cancelled, ///< Never ran; may be started again.
};

/// One booking as stored in the platform.
struct booking_record {
    record_state state = record_state::started;
    std::string digest;   ///< SHA-256 of the body, as bytes.
    std::string start_id; ///< `router.incarnation.sequence` of the start; unique.
    outcome result = outcome::unknown;
    std::int32_t status = 0;
    std::string content_type;
    std::string body;
    bool body_kept = true; ///< False when the body was too large to keep.

    friend bool operator==(const booking_record&, const booking_record&) = default;
};

/// The records of one object by `organisation/key`.
using booking_records = std::map<std::string, booking_record, std::less<>>;

/// Returns the name of the record of a booking within its object.
std::string record_name(const organisation_id& organisation, const booking_key& key);

/// Returns the shard that holds the key.
std::uint32_t shard_of(const organisation_id& organisation, const booking_key& key);

/// Returns the number of the bucket for keys of the given time.
std::int64_t bucket_of(wall_time key_time);

/// Returns the name `ledger/<shard>/<bucket>` of an object.
std::string bucket_object_name(std::uint32_t shard, std::int64_t bucket);

/// Returns an upper bound of the stored size of a record, in bytes.
std::size_t stored_size(std::string_view name, const booking_record& record);

/// Stored records as JSON members `"name":{...}`, by name.
using record_texts = std::map<std::string, std::string, std::less<>>;

/// Returns a record as a JSON member.
std::string to_member(const std::string& name, const booking_record& record);

/// Returns the document of `stored`, in which the members of `changed` replace others.
std::string join_members(const record_texts& stored, const record_texts& changed);

/// Returns the document that holds the records.
std::string to_document(const booking_records& records);

/// Returns the records in a document, or all faults with their places.
result<booking_records> parse_records(const std::string& object, const std::string& document);

} // namespace endivelatch

#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Calls to the platform's object API and their answers, as data.
namespace endivelatch {

/// Matches an answer with its call, unique within one router's run.
using platform_call_id = number_id<struct platform_call_id_tag>;

/// One stored object.
struct platform_object {
    std::string name; ///< Path form, such as `config/targets`.
    object_version version;
    std::string document; ///< At most `max_object_size` bytes.

    friend bool operator==(const platform_object&, const platform_object&) = default;
};

/// Largest document that the platform stores, in bytes.
constexpr std::size_t max_object_size = 1'000'000;

/// Reads one object.
struct read_object {
    platform_call_id call;
    std::string name;
};

/// Reads all objects whose name starts with the prefix.
struct list_objects {
    platform_call_id call;
    std::string prefix;
};

/// Writes one object if its version is still `expected`; zero creates it.
struct write_object {
    platform_call_id call;
    std::string name;
    object_version expected;
    std::string document;
};

/// Deletes one object if its version is still `expected`.
struct delete_object {
    platform_call_id call;
    std::string name;
    object_version expected;
};

/// Waits for changes of objects under the prefix after `after`; answered once, then sent again.
struct watch_objects {
    platform_call_id call;
    std::string prefix;
    object_version after; ///< Versions come from one counter of the whole store.
};

/// A call to the platform.
using platform_call =
    std::variant<read_object, list_objects, write_object, delete_object, watch_objects>;

/// The objects read or changed; an object that was deleted has an empty document.
struct objects_found {
    std::vector<platform_object> objects;
    object_version store; ///< Version of the whole store at the answer.
};

/// The write or deletion took effect and gave the object this version.
struct write_done {
    object_version version;
};

/// The object was not at the expected version, so nothing was written.
struct write_conflict {
    object_version current;
};

/// The platform gave no usable answer.
struct platform_failed {
    bool may_have_taken_effect = false; ///< A write may have been stored all the same.
    std::string reason;
};

/// The answer to one call.
struct platform_answer {
    platform_call_id call;
    std::variant<objects_found, write_done, write_conflict, platform_failed> body;
};

} // namespace endivelatch

#pragma once

#include "endivelatch/base/hash.hpp"
#include "endivelatch/configuration/documents.hpp"
#include "endivelatch/configuration/effects.hpp"
#include "endivelatch/configuration/parse.hpp"
#include "endivelatch/platform/call_id_source.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace endivelatch {

/// Settings of the configuration store.
struct configuration_store_settings {
    std::size_t push_peers = 3;       ///< Peers that a stored object is sent to in each push.
    std::size_t announce_peers = 6;   ///< Peers that a new version is announced to.
    std::size_t boot_peers = 8;       ///< Peers queried at startup.
    std::size_t chunk_size = 262'144; ///< Bytes of documents per message unless one is larger.
    duration boot_timeout = std::chrono::seconds{1};          ///< Wait for peers' responses.
    duration query_interval = std::chrono::milliseconds{200}; ///< Minimum time between queries.
    duration push_interval = std::chrono::milliseconds{300}; ///< Until an unconfirmed push repeats.
    std::size_t max_pushes = 5;                              ///< Maximum pushes of a stored object.
    duration call_timeout = std::chrono::seconds{5}; ///< Timeout of a platform call except a watch.
    duration watch_timeout = std::chrono::seconds{45}; ///< Timeout of a watch.
    duration retry_delay = std::chrono::seconds{1}; ///< Minimum delay after a failed platform call.
    bool reject_older = true; ///< If false (tests only), older versions replace newer ones.
};

/// Reducer that maintains the active configuration of one router.
///
/// Every object has a version assigned by the platform. Only a higher version replaces a lower
/// one, whether it comes from a platform listing, a watch or a peer. A malformed object is
/// reported, and its last valid version remains active. New versions are announced to a few peers,
/// which then query the document. Digests exchanged by gossip detect versions whose announcements
/// were lost.
class configuration_store {
public:
    /// Creates an empty store that is not ready. `calls` must outlive this object.
    configuration_store(router_id self, std::uint64_t seed, configuration_store_settings settings,
                        platform_call_id_source& calls);

    /// Starts fetching a snapshot from peers, or from the platform if too few peers respond.
    configuration_effects boot(time_point now);

    /// Returns whether a complete snapshot has been loaded.
    bool ready() const { return ready_; }

    /// Sets the live peers; this router is ignored if it is among them.
    void set_peers(std::vector<router_id> peers);

    /// Sets whether this router watches the platform for changes.
    configuration_effects set_watching(bool watching, time_point now);

    /// Handles a platform response; responses to calls of other components are ignored.
    configuration_effects on_platform_answered(const platform_answer& answer, time_point now);

    /// Handles objects or announcements from a peer. An update without objects ends a snapshot.
    configuration_effects on_config_update(const router_id& from, const config_update& update,
                                           time_point now);

    /// Handles a peer's query by sending the objects that are newer here. If this store is ready,
    /// an update without objects marks the end of the response.
    configuration_effects on_config_query(const router_id& from, const config_query& query,
                                          time_point now);

    /// Returns a digest of the names and versions of all active objects, for gossip.
    std::uint64_t digest() const { return digest_; }

    /// Handles a peer's digest; queries the peer if it differs from the local one.
    configuration_effects on_peer_digest(const router_id& from, std::uint64_t digest,
                                         time_point now);

    /// Activates an object that this router has just stored and pushes it to peers until one of
    /// them confirms it, which is reported by `object_confirmed`.
    configuration_effects publish(const config_object& object, time_point now);

    /// Performs all actions whose time has come.
    configuration_effects tick(time_point now);

    /// Returns the time at which `tick` must be called next; `time_point::max()` if none is due.
    time_point next_timer() const;

    /// Returns the active configuration.
    const configuration& current() const { return current_; }

    /// Returns the effective settings of a subject, such as `organisation/o1`.
    const fleet_defaults& settings_for(const std::string& subject) const;

    /// Returns the active version of an object, or nullptr if there is none.
    const config_object* find_object(const std::string& name) const;

    /// Returns the names and versions of all active objects.
    std::vector<std::pair<std::string, object_version>> versions() const;

    /// Returns the highest version of all active objects.
    object_version highest_version() const { return highest_version_; }

    /// Returns the number of live peers.
    std::size_t peer_count() const { return peers_.size(); }

private:
    enum class boot_stage { idle, first_peer, more_peers, platform, done };
    enum class call_kind { list, watch };
    struct pending_call {
        platform_call_id id;
        call_kind kind = call_kind::list;
        time_point timeout;
    };
    struct stored_object {
        config_object object;
        parsed_object entries;
    };
    struct queried_version {
        object_version version;
        time_point expires_at;
    };
    struct pending_push {
        object_version version;
        time_point next_push_at;
        std::size_t pushes = 0;
    };

    bool should_query(const config_object& announced, time_point now);
    bool apply_object(const config_object& object, configuration_effects& out);
    void replace_entries(const parsed_object& before, const parsed_object& after);
    void rebuild_subject_settings();
    void announce(const std::vector<std::string>& names, const router_id& except,
                  configuration_effects& out);
    void push(const std::string& name, pending_push& push, time_point now,
              configuration_effects& out);
    void send_query(const router_id& peer, configuration_effects& out) const;
    void query_more_peers(time_point now, configuration_effects& out);
    void on_boot_response(const router_id& from, time_point now, configuration_effects& out);
    bool has_enough_responses() const;
    void advance_boot(time_point now, configuration_effects& out);
    void become_ready(time_point now, configuration_effects& out);
    void list_platform_objects(time_point now, configuration_effects& out);
    void continue_watch(time_point now, configuration_effects& out);
    void apply_platform_objects(const objects_found& found, call_kind kind, time_point now,
                                configuration_effects& out);
    void on_call_failed(call_kind kind, time_point now, configuration_effects& out);
    std::vector<router_id> random_peers(std::size_t count, const std::set<router_id>& except);
    void send_chunks(
        const router_id& to, std::vector<config_object> objects,
        configuration_effects& out) const; // Ends with an empty update if the store is ready.

    router_id self_;
    random_source random_;
    configuration_store_settings settings_;
    platform_call_id_source& calls_;
    std::vector<router_id> peers_;
    std::map<std::string, stored_object> objects_;
    std::map<std::string, object_version> rejected_; ///< Highest malformed version of each object.
    configuration current_;
    std::unordered_map<std::string, fleet_defaults> subject_settings_; ///< Those with exceptions.
    std::uint64_t digest_ = 0;
    object_version highest_version_;
    bool ready_ = false;
    bool watching_ = false;
    boot_stage boot_stage_ = boot_stage::idle;
    std::set<router_id> boot_queried_;
    std::set<router_id> boot_pending_;
    std::set<router_id> boot_responded_; ///< Peers whose complete snapshot was received.
    time_point boot_deadline_ = time_point::max();
    std::optional<pending_call> pending_call_;
    object_version synced_version_; ///< Version of the platform's store up to which it was read.
    time_point next_call_at_{};
    time_point next_query_at_{};
    std::map<std::string, pending_push> pending_pushes_;
    std::map<std::string, queried_version> queried_versions_; ///< By object.
};

} // namespace endivelatch

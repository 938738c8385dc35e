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
    std::size_t push_peers = 3;       ///< Peers that get an accepted object's document at once.
    std::size_t announce_peers = 6;   ///< Peers that are told of a new version.
    std::size_t boot_peers = 8;       ///< Peers asked at boot.
    std::size_t chunk_size = 262'144; ///< Of documents in one message, bytes.
    duration boot_wait = std::chrono::seconds{1};             ///< For peers' answers at boot.
    duration query_interval = std::chrono::milliseconds{200}; ///< Between questions to peers.
    duration push_interval = std::chrono::milliseconds{300}; ///< Until an unconfirmed push repeats.
    std::size_t push_rounds = 5;                             ///< Pushes of one accepted object.
    duration call_timeout = std::chrono::seconds{5};         ///< Of one platform call but a watch.
    duration watch_timeout = std::chrono::seconds{45};       ///< Of one watch.
    duration retry_delay = std::chrono::seconds{1};          ///< After a failed platform call.
    bool refuse_older = true;                                ///< Only tests take older versions.
};

/// Reducer of the configuration in force on one router.
///
/// Every object carries the platform's version, and only a higher version replaces a lower one,
/// whether it comes from the platform, a watch or a peer. A malformed object is reported and the
/// last good version stays in force. News spread by announcements of versions to a few peers,
/// who ask for the document; digests in gossip find what announcements missed.
class configuration_store {
public:
    /// Makes an empty store that is not ready; `calls` must outlive it.
    configuration_store(router_id self, std::uint64_t seed, configuration_store_settings settings,
                        platform_call_id_source& calls);

    /// Starts to fetch a snapshot from peers, or from the platform when too few answer.
    configuration_effects boot(time_point now);

    /// Returns whether a snapshot is in force.
    bool ready() const { return ready_; }

    /// Sets the live peers, this router excluded.
    void set_peers(std::vector<router_id> peers);

    /// Sets whether this router watches the platform for changes.
    configuration_effects set_watching(bool watching, time_point now);

    /// Takes an answer of the platform; answers to other reducers' calls are ignored.
    configuration_effects on_platform_answered(const platform_answer& answer, time_point now);

    /// Takes objects or announcements from a peer.
    configuration_effects on_config_update(const router_id& from, const config_update& update,
                                           time_point now);

    /// Takes a peer's question. The answer of a router that is ready ends with an update without
    /// objects; one that is not ready only passes on what it holds.
    configuration_effects on_config_query(const router_id& from, const config_query& query,
                                          time_point now);

    /// Returns a digest of all names and versions in force, for gossip.
    std::uint64_t digest() const { return digest_; }

    /// Takes a peer's digest; asks the peer when it differs.
    configuration_effects on_peer_digest(const router_id& from, std::uint64_t digest,
                                         time_point now);

    /// Takes an object that was just stored by this router and pushes it to peers until one
    /// confirms it with `object_confirmed`.
    configuration_effects accept(const config_object& object, time_point now);

    /// Carries out what is due.
    configuration_effects tick(time_point now);

    /// Returns when `tick` must be called next, the greatest time when nothing is due.
    time_point next_timer() const;

    /// Returns the configuration in force.
    const configuration& current() const { return current_; }

    /// Returns the settings in force for a subject, such as `organisation/o1`.
    const fleet_defaults& settings_of(const std::string& subject) const;

    /// Returns the object in force, or nullptr when there is none.
    const config_object* held(const std::string& name) const;

    /// Returns names and versions of all objects in force.
    std::vector<std::pair<std::string, object_version>> versions() const;

    /// Returns the highest version of any object in force.
    object_version highest_version() const { return highest_; }

    /// Returns the number of live peers.
    std::size_t peer_count() const { return peers_.size(); }

private:
    enum class boot_stage { idle, first_peer, more_peers, platform, done };
    enum class call_kind { list, watch };
    struct call_state {
        platform_call_id id;
        call_kind kind = call_kind::list;
        time_point timeout;
    };
    struct held_object {
        config_object object;
        parsed_object entries;
    };
    struct asked_version {
        object_version version;
        time_point until;
    };
    struct awaited_push {
        object_version version;
        time_point repeat_at;
        std::size_t rounds = 0;
    };

    bool should_ask(const config_object& announced, time_point now);
    bool adopt(const config_object& object, configuration_effects& out);
    void replace_entries(const parsed_object& before, const parsed_object& after);
    void rebuild_subjects();
    void announce(const std::vector<std::string>& names, const router_id& except,
                  configuration_effects& out);
    void push(const std::string& name, awaited_push& push, time_point now,
              configuration_effects& out);
    void ask(const router_id& peer, configuration_effects& out) const;
    void ask_more_peers(time_point now, configuration_effects& out);
    void boot_answered(const router_id& from, time_point now, configuration_effects& out);
    bool has_enough_answers() const;
    void boot_timed_out(time_point now, configuration_effects& out);
    void become_ready(time_point now, configuration_effects& out);
    void list_platform(time_point now, configuration_effects& out);
    void continue_watch(time_point now, configuration_effects& out);
    void take_objects(const objects_found& found, call_kind kind, time_point now,
                      configuration_effects& out);
    void call_failed(call_kind kind, time_point now, configuration_effects& out);
    std::vector<router_id> some_peers(std::size_t count, const std::set<router_id>& except);
    void send_chunks(const router_id& to, std::vector<config_object> objects,
                     configuration_effects& out) const; // Ends with an empty update when ready.

    router_id self_;
    random_source random_;
    configuration_store_settings settings_;
    platform_call_id_source& calls_;
    std::vector<router_id> peers_;
    std::map<std::string, held_object> objects_;
    std::map<std::string, object_version> rejected_; ///< Highest malformed version by object.
    configuration current_;
    std::unordered_map<std::string, fleet_defaults> subjects_; ///< Those with exceptions.
    std::uint64_t digest_ = 0;
    object_version highest_;
    bool ready_ = false;
    bool watching_ = false;
    boot_stage boot_ = boot_stage::idle;
    std::set<router_id> boot_asked_;
    std::set<router_id> boot_pending_;
    std::set<router_id> boot_answered_; ///< Peers whose snapshot is part of the own one.
    time_point boot_deadline_ = time_point::max();
    std::optional<call_state> call_;
    object_version synced_; ///< Version of the store up to which the platform was read.
    time_point next_call_{};
    time_point next_query_{};
    std::map<std::string, awaited_push> awaited_;
    std::map<std::string, asked_version> asked_; ///< Announced versions that were asked for.
};

} // namespace endivelatch

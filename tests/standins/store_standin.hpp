#pragma once

#include "delayed_calls.hpp"

#include "endivelatch/entry/request_server.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace endivelatch::standins {

/// Simulates the object store of the entry routers: paged lists, watches, conditional creation
/// and faults. A single revision number covers all objects.
class store_standin {
public:
    /// How requests are handled.
    enum class mode {
        normal,
        unavailable,  ///< Responds with 503 immediately.
        unresponsive, ///< Never responds.
    };

    explicit store_standin(event_loop& loop);

    /// Returns the listening address.
    endpoint address() const { return server_.listening(); }

    /// Writes an object, as the operator or a target does.
    void put(const std::string& kind, const std::string& name, const nlohmann::json& spec);

    /// Writes an object whose `Spec` has the given text, which need not be JSON, as another writer
    /// may do.
    void put_text(const std::string& kind, const std::string& name, const std::string& spec);

    /// Removes an object.
    void remove(const std::string& kind, const std::string& name);

    /// Sets how requests are handled; a change to `normal` aborts the unanswered requests.
    void set_mode(mode m);

    /// Discards the change history, so that watches from older revisions get 410, and aborts all
    /// pending watches.
    void discard_history();

    /// Answers calls for the kind with 404, as for a kind that has no objects.
    void set_absent(const std::string& kind) { absent_kind_ = kind; }

    /// Keeps a copy of all objects, as a backup does.
    void make_copy();

    /// Comes back from the copy: later changes are lost, their revisions are given out again and
    /// the era rises by one. Pending watches are aborted unless they outlive the return, as behind
    /// a proxy.
    void restore_copy(bool keeps_watches = false);

    /// Returns the objects of a kind, by name.
    const std::map<std::string, nlohmann::json>& objects(const std::string& kind)
    {
        return objects_by_kind_[kind];
    }

    /// Returns the number of pending watches.
    std::size_t pending_watches() const { return pending_watches_.size(); }

    /// Returns the number of received requests.
    int request_count() const { return request_count_; }

    /// Maximum number of objects per page of a list.
    static constexpr std::size_t page_size = 3;

private:
    struct change {
        std::uint64_t revision = 0;
        std::string kind;
        std::string event;
    };
    struct pending_watch {
        exchange_number id;
        std::string kind;
        std::uint64_t after = 0;
    };

    void on_request(exchange_number id, const request_head& head, const std::string& body);
    void list(exchange_number id, const std::string& kind, const std::string& after);
    void watch(exchange_number id, const std::string& kind, std::uint64_t after, int wait_ms);
    bool respond_to_watch(const pending_watch& it, bool has_timed_out);
    void create(exchange_number id, const std::string& kind, const std::string& body);
    void record_change(const std::string& kind, const std::string& object, bool is_deleted);
    std::string object_text(const std::string& kind, const std::string& name) const;
    void respond(exchange_number id, int status, const nlohmann::json& body);
    void respond_text(exchange_number id, int status, const std::string& body);

    using objects_by_name = std::map<std::string, nlohmann::json>;

    request_server server_;
    delayed_calls delays_;
    mode mode_ = mode::normal;
    std::string absent_kind_;
    std::map<std::string, objects_by_name> objects_by_kind_;
    std::map<std::string, objects_by_name> copied_objects_;
    std::uint64_t copied_revision_ = 0;
    std::uint64_t era_ = 1; ///< Stated in all answers.
    /// Texts that replace the `Spec` of objects, by kind and name.
    std::map<std::pair<std::string, std::string>, std::string> spec_texts_;
    std::deque<change> history_;
    std::uint64_t revision_ = 1;
    std::uint64_t oldest_watchable_revision_ = 1; ///< Watches from earlier revisions get 410.
    std::vector<pending_watch> pending_watches_;
    std::vector<exchange_number> unanswered_requests_;
    int request_count_ = 0;
};

} // namespace endivelatch::standins

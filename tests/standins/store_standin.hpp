#pragma once

#include "delayed_calls.hpp"

#include "endivelatch/entry/request_server.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace endivelatch::standins {

/// A stand-in for the users' object store: lists in pages, watches, conditional writes, and the
/// faults of its pages. One revision counts all changes.
class store_standin {
public:
    /// How calls are answered.
    enum class mode {
        well,
        refusing, ///< 503 at once.
        silent,   ///< Not at all.
    };

    explicit store_standin(event_loop& loop);

    /// Returns the address.
    endpoint address() const { return server_.listening(); }

    /// Writes an object as the operator or a target does.
    void put(const std::string& kind, const std::string& name, const nlohmann::json& spec);

    /// Removes an object.
    void remove(const std::string& kind, const std::string& name);

    /// Sets how calls are answered from now on; a change to `well` drops calls not answered.
    void set_mode(mode m);

    /// Forgets all changes so far, so that watches on older revisions get 410, and cuts watches.
    void forget_history();

    /// Returns the objects of a kind by name.
    const std::map<std::string, nlohmann::json>& objects(const std::string& kind)
    {
        return kinds_[kind];
    }

    /// Returns how many watches wait.
    std::size_t watches() const { return watchers_.size(); }

    /// Returns how many calls were received.
    int calls() const { return calls_; }

    /// Objects of one page.
    static constexpr std::size_t page_size = 3;

private:
    struct change {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json event;
    };
    struct watcher {
        exchange_number id;
        std::string kind;
        std::uint64_t after = 0;
    };

    void on_request(exchange_number id, const request_head& head, const std::string& body);
    void list(exchange_number id, const std::string& kind, const std::string& after);
    void watch(exchange_number id, const std::string& kind, std::uint64_t after, int wait_ms);
    bool answer_watch(const watcher& it, bool is_over);
    void create(exchange_number id, const std::string& kind, const std::string& body);
    void note(const std::string& kind, const nlohmann::json& object, bool is_deleted);
    void respond(exchange_number id, int status, const nlohmann::json& body);

    request_server server_;
    delayed_calls delays_;
    mode mode_ = mode::well;
    std::map<std::string, std::map<std::string, nlohmann::json>> kinds_;
    std::deque<change> history_;
    std::uint64_t revision_ = 1;
    std::uint64_t first_revision_ = 1; ///< Watches after an earlier one are gone.
    std::vector<watcher> watchers_;
    std::vector<exchange_number> unanswered_;
    int calls_ = 0;
};

} // namespace endivelatch::standins

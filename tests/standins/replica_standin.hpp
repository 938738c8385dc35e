#pragma once

#include "delayed_calls.hpp"

#include "endivelatch/entry/request_server.hpp"

#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace endivelatch::standins {

/// A stand-in for a replica of the users: echoes the attempt's identifier, signs its answers,
/// streams events, and fails in the ways of its pages.
class replica_standin {
public:
    /// What goes wrong with the next requests.
    enum class fault {
        none,
        refuses,     ///< States that it did not run the request.
        loses,       ///< Runs it and closes the connection without an answer.
        breaks_off,  ///< Closes the connection within an event, or within the body.
        unsigned_ok, ///< Answers 200 without a signature.
        errs,        ///< Runs it and answers 500.
        hangs,       ///< Runs it and says nothing.
    };

    replica_standin(event_loop& loop, std::string id, std::string pool);

    /// Returns its registration for the store.
    nlohmann::json registration(const std::string& state = "ready") const;

    /// Returns the address that it listens on.
    endpoint address() const { return server_.listening(); }

    /// Returns its name in the store.
    const std::string& id() const { return id_; }

    /// Sets what goes wrong from now on.
    void set_fault(fault f) { fault_ = f; }

    /// Returns how often each attempt has run, by its identifier.
    const std::map<std::string, int>& runs() const { return runs_; }

    /// Returns the headers of the last request.
    const http_headers& last_headers() const { return last_headers_; }

    /// Returns how many callers left before their answer was whole.
    int abandoned() const { return abandoned_; }

    /// Events of a stream, and the time between two of them.
    static constexpr int events = 5;
    static constexpr duration event_gap{20'000};

private:
    void on_request(exchange_number id, const request_head& head, const std::string& body);
    void stream(exchange_number id, int next);
    http_headers answer_headers(const std::string& attempt) const;

    request_server server_;
    delayed_calls delays_;
    std::string id_;
    std::string pool_;
    fault fault_ = fault::none;
    std::map<std::string, int> runs_;
    std::map<exchange_number, bool> streams_;
    http_headers last_headers_;
    int abandoned_ = 0;
};

} // namespace endivelatch::standins

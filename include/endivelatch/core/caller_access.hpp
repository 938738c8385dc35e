#pragma once

#include "endivelatch/configuration/documents.hpp"
#include "endivelatch/core/call.hpp"
#include "endivelatch/core/request_spec.hpp"

#include <string>
#include <unordered_map>
#include <variant>

namespace endivelatch {

/// Authenticates callers and checks which models and services their organisation may use.
class caller_access {
public:
    /// Sets the active configuration, which must stay valid until the next call or the destruction
    /// of this object.
    void configure(const configuration& config);

    /// Returns the organisation that an API key belongs to, or null if the key is unknown.
    const organisation_document* organisation_of(const std::string& key) const;

    /// Authorizes a chat call and returns the request to run, or the rejection.
    std::variant<request_spec, refused_call> chat(const organisation_document& organisation,
                                                  const chat_call& call, const http_received& http,
                                                  time_point now) const;

    /// Authorizes a service call and returns the request to run, or the rejection. The request's
    /// `key` is set if the call must run at most once.
    std::variant<request_spec, refused_call> service(const organisation_document& organisation,
                                                     const service_call& call,
                                                     const http_received& http,
                                                     time_point now) const;

private:
    /// Returns whether all calls to a pool are idempotent.
    bool is_idempotent(const pool_id& pool) const;

    const configuration* config_ = nullptr;
    std::unordered_map<std::string, organisation_id> by_key_hash_;
    std::unordered_map<pool_id, bool> idempotent_pools_;
};

} // namespace endivelatch

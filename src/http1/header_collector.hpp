#pragma once

#include "endivelatch/http1/http_header.hpp"

#include <cstddef>

namespace endivelatch {

/// Assembles headers from the pieces that the parser reports.
class header_collector {
public:
    explicit header_collector(http_headers& headers) : headers_{&headers} {}

    /// Takes a piece of a name; the first after a value starts a new header.
    void add_name(const char* at, std::size_t n)
    {
        if (was_value_) {
            headers_->emplace_back();
            was_value_ = false;
        }
        headers_->back().name.append(at, n);
    }

    /// Takes a piece of a value.
    void add_value(const char* at, std::size_t n)
    {
        was_value_ = true;
        headers_->back().value.append(at, n);
    }

private:
    http_headers* headers_;
    bool was_value_ = true;
};

} // namespace endivelatch

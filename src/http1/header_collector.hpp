#pragma once

#include "endivelatch/http1/http_header.hpp"

#include <cstddef>

#include <http_parser.h>

namespace endivelatch {

/// Assembles headers from the fragments that `http_parser` reports.
class header_collector {
public:
    explicit header_collector(http_headers& headers) : headers_{&headers} {}

    /// Appends a fragment of a name; the first one after a value starts a new header.
    void add_name(const char* at, std::size_t n)
    {
        if (last_was_value_) {
            headers_->emplace_back();
            last_was_value_ = false;
        }
        headers_->back().name.append(at, n);
    }

    /// Appends a fragment of a value.
    void add_value(const char* at, std::size_t n)
    {
        last_was_value_ = true;
        headers_->back().value.append(at, n);
    }

private:
    http_headers* headers_;
    bool last_was_value_ = true;
};

/// Installs callbacks that add headers to `Parser::collector` until the head is complete. Trailers
/// are dropped, so that they cannot be taken for headers.
template <class Parser>
void collect_headers(http_parser_settings& settings)
{
    settings.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
        if (!Parser::of(p).has_head) {
            Parser::of(p).collector.add_name(at, n);
        }
        return 0;
    };
    settings.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
        if (!Parser::of(p).has_head) {
            Parser::of(p).collector.add_value(at, n);
        }
        return 0;
    };
}

} // namespace endivelatch

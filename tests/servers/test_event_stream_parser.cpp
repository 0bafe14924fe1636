#include <doctest/doctest.h>

#include "servers/event_stream_parser.hpp"

using namespace dragonflywell::servers;

TEST_CASE("events are parsed wherever the stream is split into pieces") {
    const std::string text = "id: 1\ndata: a\n\n: comment\n\ndata: b\ndata: c\n\n";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        event_stream_parser parser;
        std::string seen;
        for (const std::string& piece : {text.substr(0, cut), text.substr(cut)}) {
            parser.add_bytes(piece);
            for (auto event = parser.take_event(); event; event = parser.take_event()) {
                seen += event->id + "=" + event->data + ";";
            }
        }
        CHECK(seen == "1=a;=b\nc;");
    }
}

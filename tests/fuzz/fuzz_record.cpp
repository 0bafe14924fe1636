#include <cstdlib>

#include "coordination/record_fold.hpp"
#include "core/error.hpp"

using namespace dragonflywell;
using namespace dragonflywell::coordination;

namespace {

void require(bool holds) {
    if (!holds) {
        std::abort();
    }
}

} // namespace

/// Any input line is either rejected as malformed or is a record that is equal after encoding and decoding and that the
/// fold accepts. The state of the fold is equal after it is saved and restored.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    // Each line is one record, so that one input can apply several records to the fold.
    std::string_view rest(reinterpret_cast<const char*>(data), size);
    record_fold fold;
    log_offset offset = 0;
    while (!rest.empty()) {
        const std::string_view line = rest.substr(0, rest.find('\n'));
        rest.remove_prefix(std::min(rest.size(), line.size() + 1));
        try {
            const record value = decode_record(line);
            const std::string text = encode_record(value);
            require(!has_no_fractions(value.body) || encode_record(decode_record(text)) == text);
            fold.apply(offset++, value);
        } catch (const malformed_message_error&) {
            continue;
        }
    }
    require(record_fold::restore(fold.save()) == fold);
    return 0;
}

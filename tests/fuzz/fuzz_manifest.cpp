#include <cstdint>
#include <cstdlib>

#include "core/error.hpp"
#include "fleet/manifest.hpp"

using namespace dragonflywell;

/// Any input is either rejected with a list of problems or is a manifest that is equal after formatting and parsing
/// again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    try {
        const fleet::manifest_entries entries =
            fleet::get_manifest_entries(std::string_view(reinterpret_cast<const char*>(data), size));
        const fleet::manifest parsed = fleet::parse_manifest(entries);
        const std::string document = fleet::get_manifest_document(entries);
        if (fleet::parse_manifest(fleet::get_manifest_entries(document)) != parsed) {
            std::abort();
        }
    } catch (const invalid_input_error&) {
        return 0;
    }
    return 0;
}

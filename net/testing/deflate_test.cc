#include "net/deflate.h"

#include <doctest/doctest.h>

namespace leverwick {
namespace {

TEST_CASE("what was deflated is inflated again") {
  std::string text;
  for (int i = 0; i < 10000; ++i) {
    text += R"({"service":"chat","slots":24,"id":)" + std::to_string(i) + "}";
  }
  std::string packed = Deflate(text);
  CHECK(packed.size() < text.size() / 5);
  std::string unpacked;
  REQUIRE(Inflate(packed, text.size(), &unpacked));
  CHECK(unpacked == text);
  CHECK(Inflate(Deflate(""), 0, &unpacked));
}

TEST_CASE("bytes that are damaged or of another size are refused") {
  std::string text(1000, 'a');
  std::string packed = Deflate(text);
  std::string unpacked;
  CHECK_FALSE(Inflate(packed, 999, &unpacked));
  CHECK_FALSE(Inflate(packed, 1001, &unpacked));
  CHECK_FALSE(Inflate(packed.substr(0, packed.size() / 2), 1000, &unpacked));
  CHECK_FALSE(Inflate("no such bytes", 1000, &unpacked));
}

}  // namespace
}  // namespace leverwick

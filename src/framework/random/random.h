//===- random.h - Seeded random numbers -------------------------*- C++ -*-===//
//
// The generator that everything random draws from. The seed comes from the
// caller: the operating system in a process, a constant in tests.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_RANDOM_RANDOM_H
#define GERANIUMBAY_FRAMEWORK_RANDOM_RANDOM_H

#include <cstdint>
#include <pcg_random.hpp>

namespace geraniumbay {

/// A PCG generator with the few draws that the project needs.
class Random {
public:
  explicit Random(std::uint64_t Seed) : Engine_(Seed) {}

  /// A whole number in [0, Bound); \p Bound is above 0.
  std::uint64_t below(std::uint64_t Bound) { return Engine_(Bound); }
  /// A real number in [0, 1).
  double unit() {
    constexpr double TwoToMinus53 = 1.0 / 9007199254740992.0;
    return static_cast<double>(Engine_() >> 11U) * TwoToMinus53;
  }
  /// All 64 bits.
  std::uint64_t bits() { return Engine_(); }

private:
  pcg64 Engine_;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_RANDOM_RANDOM_H

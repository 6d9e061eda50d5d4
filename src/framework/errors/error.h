//===- error.h - Errors as values -------------------------------*- C++ -*-===//
//
// How every module reports failure: a function that can fail returns Ret or
// RetVal<T> (Boost.LEAF results that carry an Error), and a caller that has to
// look at the failure turns the result into an Outcome with attempt().
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_ERRORS_ERROR_H
#define GERANIUMBAY_FRAMEWORK_ERRORS_ERROR_H

#include <boost/leaf.hpp>
#include <string>
#include <utility>
#include <variant>

namespace geraniumbay {

/// What kind of failure happened. The message of an Error says the rest.
enum class ErrorCode {
  InvalidArgument, ///< The input is malformed or out of range.
  NotFound,        ///< The named thing does not exist.
  Conflict,        ///< Another change or an older version is in the way.
  Unavailable,     ///< It cannot be done now; a later try may succeed.
  Timeout,         ///< No answer came in time; the outcome is unknown.
  Refused,         ///< The peer refused; the request was not carried out.
  Corrupt,         ///< Stored or received bytes do not check.
  Io,              ///< The operating system reported a failure.
  Internal,        ///< A failure without a more exact kind.
};

/// Returns the stable lower-case name of \p Code, as it appears in logs.
const char *errorCodeName(ErrorCode Code);

/// A failure: its kind and one line of text for people.
struct Error {
  ErrorCode Code = ErrorCode::Internal;
  std::string Message;

  bool operator==(const Error &) const = default;
};

/// The result of an operation that returns nothing.
using Ret = boost::leaf::result<void>;

/// The result of an operation that returns a T.
template <typename T> using RetVal = boost::leaf::result<T>;

/// Returns a failed result, to be returned as Ret or RetVal<T>.
inline boost::leaf::error_id fail(ErrorCode Code, std::string Message) {
  return boost::leaf::new_error(Error{Code, std::move(Message)});
}

/// Returns a failed result with \p Failure, to hand a caught error on.
inline boost::leaf::error_id fail(Error Failure) {
  return boost::leaf::new_error(std::move(Failure));
}

/// A value or an Error that can be stored and handed to a callback. A LEAF
/// result cannot: its error lives only while a handler is on the stack.
template <typename T> class Outcome {
public:
  Outcome(T Value) : State_(std::in_place_index<0>, std::move(Value)) {}
  Outcome(Error Failure) : State_(std::in_place_index<1>, std::move(Failure)) {}

  bool ok() const { return State_.index() == 0; }
  explicit operator bool() const { return ok(); }

  /// The value; only if ok().
  T &value() { return std::get<0>(State_); }
  const T &value() const { return std::get<0>(State_); }
  T &operator*() { return value(); }
  const T &operator*() const { return value(); }
  T *operator->() { return &value(); }
  const T *operator->() const { return &value(); }

  /// The error; only if not ok().
  const Error &error() const { return std::get<1>(State_); }

private:
  std::variant<T, Error> State_;
};

/// The value of an Outcome that carries none.
struct Done {
  bool operator==(const Done &) const = default;
};

/// The value type of a RetVal<T> or Ret.
template <typename ResultT> struct ResultValue;
template <typename T> struct ResultValue<RetVal<T>> { using Type = T; };

/// Runs \p Function, which returns RetVal<T> or Ret, and returns its value
/// (Done for Ret) or the Error it failed with.
template <typename FunctionT> auto attempt(FunctionT &&Function) {
  using ResultT = decltype(Function());
  using ValueT = typename ResultValue<ResultT>::Type;
  using StoredT =
      std::conditional_t<std::is_void_v<ValueT>, Done, std::decay_t<ValueT>>;
  return boost::leaf::try_handle_all(
      [&]() -> RetVal<Outcome<StoredT>> {
        if constexpr (std::is_void_v<ValueT>) {
          BOOST_LEAF_CHECK(Function());
          return Outcome<StoredT>(Done{});
        } else {
          BOOST_LEAF_AUTO(Value, Function());
          return Outcome<StoredT>(std::move(Value));
        }
      },
      [](const Error &Failure) { return Outcome<StoredT>(Failure); },
      [] {
        return Outcome<StoredT>(
            Error{ErrorCode::Internal, "failure without a description"});
      });
}

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_ERRORS_ERROR_H

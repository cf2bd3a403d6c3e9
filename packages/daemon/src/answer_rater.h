#ifndef BULRUSHPITCH_DAEMON_ANSWER_RATER_H
#define BULRUSHPITCH_DAEMON_ANSWER_RATER_H

#include "answer_in_progress.h"

namespace bulrushpitch {

/// @brief Has answers rated: those whose release depends on it, and a sample of the others.
class AnswerRater {
public:
  /// @brief The referenced objects must outlive this object.
  AnswerRater(const Runtime &Base, const ModelServiceDependencies &Dependencies,
              const AnswerInProgress &Answer);

  /// @brief Rates the answer if its release depends on the rating. Otherwise a sample is rated in the
  /// background.
  /// @return whether the answer is released, rather than escalated to the next cascade step
  boost::asio::awaitable<bool> accept();

private:
  void rateSample();
  RatingRequest ratingRequest() const;
  static boost::asio::awaitable<void> rateInBackground(ModelServiceDependencies Dependencies, Runtime Base,
                                                       TeamId Team, RatingRequest Request);

  const Runtime &m_Runtime;
  const ModelServiceDependencies &m_Dependencies;
  const AnswerInProgress &m_Answer;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_ANSWER_RATER_H

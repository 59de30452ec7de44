//! Keys of the settings file and the macro that declares a section of them.

/// What happens when a key is not set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// This value is taken, written as in a flag.
    Default(&'static str),
    /// The settings are refused.
    Required,
    /// Nothing: the value is optional.
    Optional,
}

/// One key of the settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    /// Section and name, such as `daemon.listen`.
    pub name: &'static str,
    /// What its value looks like, for people.
    pub kind: &'static str,
    /// What happens when it is not set.
    pub presence: Presence,
    /// What it means: the doc comment of the field.
    pub meaning: &'static str,
}

impl Key {
    /// The section of the key.
    pub fn section(&self) -> &'static str {
        self.name.split_once('.').map_or("", |(section, _)| section)
    }

    /// The name within the section.
    pub fn field(&self) -> &'static str {
        self.name
            .split_once('.')
            .map_or(self.name, |(_, field)| field)
    }
}

/// Declares one section: a struct, the table of its keys and the way it is read. The doc comment of
/// a field is its meaning in the table.
macro_rules! section {
    (
        $(#[doc = $doc:literal])+
        $section:ident => $name:ident {
            $(
                $(#[doc = $meaning:literal])+
                $field:ident: $type:ty = $presence:expr;
            )*
        }
    ) => {
        $(#[doc = $doc])+
        #[derive(Clone, Debug, PartialEq)]
        pub struct $name {
            $( $(#[doc = $meaning])+ pub $field: $type, )*
        }

        impl $name {
            /// The keys of this section, in the order of the documentation.
            pub const KEYS: &'static [$crate::key::Key] = &[
                $( $crate::key::Key {
                    name: concat!(stringify!($section), ".", stringify!($field)),
                    kind: <$type as $crate::value::SettingValue>::KIND,
                    presence: $presence,
                    meaning: concat!($($meaning),+),
                }, )*
            ];

            /// Reads every key; `None` if one of them cannot be used, which the reader notes.
            pub(crate) fn read(reader: &mut $crate::reader::Reader<'_>) -> Option<Self> {
                $( let $field = reader.read(concat!(stringify!($section), ".", stringify!($field))); )*
                Some(Self { $( $field: $field?, )* })
            }
        }
    };
}

pub(crate) use section;
